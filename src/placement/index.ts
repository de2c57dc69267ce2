export { LocalPlacement } from "./localPlacement.js";
export type { Placement } from "./types.js";
