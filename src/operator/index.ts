export { ACTIONS } from "./actions/index.js";
export { OperatorServer } from "./operatorServer.js";
export type { ActionResult, OperatorContext } from "./types.js";
