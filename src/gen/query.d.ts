/** Types of the generated parser; the parser itself is query.js. */
export interface ParsedValue {
  text: string;
  /** Offset in the statement. */
  at: number;
}

export interface ParsedStatement {
  verb: string;
  words: ParsedValue[];
  options: Record<string, ParsedValue>;
  where: { field: string; operator: string; value: ParsedValue }[];
}

export class SyntaxError extends Error {
  location: { start: { offset: number } };
}

export function parse(input: string): ParsedStatement;
