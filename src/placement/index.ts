export { LocalPlacement } from "./localPlacement.js";
export { PlacementServer } from "./placementServer.js";
export { SharedPlacement } from "./sharedPlacement.js";
export { StreamVersions } from "./streamVersions.js";
export type { Placement } from "./types.js";
export { TakeoverGuard } from "./takeoverGuard.js";
export type { HolderAuthority } from "./takeoverGuard.js";
