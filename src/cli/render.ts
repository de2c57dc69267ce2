/** Renders responses as text. */
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

/** Renders a statement with its error and a marker at its position. */
export const renderSyntax = (
  statement: string,
  text: string,
  at: number,
): string => `${statement}\n${" ".repeat(at)}^ ${text}`;
