/** Answers as text for people. */
import Table from "cli-table3";

import type { Row } from "../query/index.js";

export const renderTable = (
  columns: readonly string[],
  rows: Row[],
): string => {
  const table = new Table({ head: [...columns], style: { head: [] } });
  for (const row of rows) {
    table.push(columns.map((column) => String(row[column] ?? "")));
  }
  const count = rows.length === 1 ? "1 row" : `${rows.length} rows`;
  return `${table.toString()}\n${count}`;
};

/** The statement with a mark under the place that is wrong. */
export const renderSyntax = (
  statement: string,
  text: string,
  at: number,
): string => `${statement}\n${" ".repeat(at)}^ ${text}`;
