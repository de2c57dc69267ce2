export { Gossip } from "./gossip.js";
export { PeerLink, PeerServer } from "./peerLink.js";
export type { PeerHandlers, SideHandlers } from "./peerLink.js";
