export { Supervisor, settle } from "./supervisor.js";
export type { Outcome, TaskBody } from "./supervisor.js";
