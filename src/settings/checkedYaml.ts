/**
 * Parses YAML and validates it against a schema; errors name the file, the
 * line and the expected value.
 */
import { LineCounter, parseDocument, isNode, isMap } from "yaml";
import type { Document } from "yaml";
import type { z } from "zod/v4";

import { InvalidInputError } from "../shared/errors.js";

type Path = readonly PropertyKey[];

/** Line of the node at `path`, or of its nearest existing parent. */
const lineOf = (doc: Document, lines: LineCounter, path: Path): number => {
  for (let length = path.length; length >= 0; length -= 1) {
    const node = doc.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
};

const lineOfKey = (
  doc: Document,
  lines: LineCounter,
  path: Path,
  key: string,
): number => {
  const map = path.length === 0 ? doc.contents : doc.getIn(path, true);
  if (!isMap(map)) return lineOf(doc, lines, path);
  const pair = map.items.find((item) => String(item.key) === key);
  const node = pair?.key;
  if (!isNode(node) || !node.range) return lineOf(doc, lines, path);
  return lines.linePos(node.range[0]).line;
};

const describeIssue = (
  doc: Document,
  lines: LineCounter,
  issue: z.core.$ZodIssue,
): { line: number; text: string } => {
  const where = issue.path.join(".") || "document";
  if (issue.code === "unrecognized_keys") {
    const key = issue.keys[0] ?? "";
    const line = lineOfKey(doc, lines, issue.path, key);
    return { line, text: `${where}: unknown key "${key}"` };
  }
  const line = lineOf(doc, lines, issue.path);
  return { line, text: `${where}: ${issue.message}` };
};

/** Parses and validates `text`; throws `InvalidInputError` with all issues. */
export const parseCheckedYaml = <T>(
  file: string,
  text: string,
  schema: z.ZodType<T>,
): T => {
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines });
  const syntaxError = doc.errors[0];
  if (syntaxError !== undefined) {
    const { line } = lines.linePos(syntaxError.pos[0]);
    const [what] = syntaxError.message.split("\n");
    throw new InvalidInputError(`${file}:${line}: not valid YAML: ${what}`);
  }
  const result = schema.safeParse(doc.toJS());
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) => {
    const { line, text: what } = describeIssue(doc, lines, issue);
    return `${file}:${line}: ${what}`;
  });
  throw new InvalidInputError(problems.join("\n"));
};
