/** Bounds on what callers hold of a process, and on how they are read. */
export { CallerBounds } from "./callerBounds.js";
export type { CallerConnections } from "./callerConnections.js";
export { BodyTimeoutError, NoRoomError } from "./callerExchange.js";
export type { CallerExchange } from "./callerExchange.js";
export type { ProcessLimits } from "./callerLimits.js";
export { newProbeServer } from "./probeServer.js";
