export { filterRows, parseStatement, StatementError } from "./statement.js";
export type { ParsedValue, Row, Statement } from "./statement.js";
