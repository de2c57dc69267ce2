/** Parser and row filter of the query and command language. */
import { parse, SyntaxError as ParserError } from "../gen/query.js";
import type { ParsedStatement, ParsedValue } from "../gen/query.js";

export type Statement = ParsedStatement;
export type { ParsedValue };

/** Thrown for a statement that is invalid or can't be applied. */
export class StatementError extends Error {
  constructor(
    message: string,
    /** Character offset of the error in the statement. */
    readonly at: number,
  ) {
    super(message);
  }
}

const MAX_STATEMENT_CHARS = 2000;

/** Parses a statement; throws `StatementError` if it is invalid or too long. */
export const parseStatement = (text: string): Statement => {
  if (text.length > MAX_STATEMENT_CHARS) {
    throw new StatementError("the statement is too long", MAX_STATEMENT_CHARS);
  }
  try {
    return parse(text);
  } catch (err) {
    if (!(err instanceof ParserError)) throw err;
    throw new StatementError(err.message, err.location.start.offset);
  }
};

/** A table row to which conditions are applied. */
export type Row = Record<string, string | number | boolean>;

/** Compares as numbers if both are numeric; `~` means contains. */
const compare = (operator: string, left: string, right: string): boolean => {
  const isNumber =
    left !== "" && right !== "" && !isNaN(+left) && !isNaN(+right);
  const order = isNumber ? +left - +right : left < right ? -1 : +(left > right);
  switch (operator) {
    case "=":
      return order === 0;
    case "!=":
      return order !== 0;
    case "<":
      return order < 0;
    case "<=":
      return order <= 0;
    case ">":
      return order > 0;
    case ">=":
      return order >= 0;
    default:
      return left.includes(right);
  }
};

/**
 * Returns the rows that match every condition; throws `StatementError` for a
 * column that does not exist.
 */
export const filterRows = (
  rows: Row[],
  columns: readonly string[],
  statement: Statement,
): Row[] => {
  for (const { field, value } of statement.where) {
    if (columns.includes(field)) continue;
    const known = columns.join(", ");
    throw new StatementError(
      `no column "${field}"; there are ${known}`,
      Math.max(0, value.at - field.length),
    );
  }
  return rows.filter((row) =>
    statement.where.every(({ field, operator, value }) =>
      compare(operator, String(row[field] ?? ""), value.text),
    ),
  );
};
