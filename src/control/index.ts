export {
  giveOrder,
  isOrderPending,
  recordRoleChange,
  renewLease,
  takeLease,
} from "./controlRecord.js";
export type { OrderAnswer, OrderRequest } from "./controlRecord.js";
export { ControlStore } from "./controlStore.js";
export type { Versioned } from "./controlStore.js";
export {
  isLeaseHeld,
  nextLeaseStep,
  leaseAfterWrite,
  NO_LEASE,
  observeLease,
} from "./leaseState.js";
export type { LeaseState } from "./leaseState.js";
export { CONTROL_KIND, EMPTY_CONTROL, STATUS_KIND } from "./types.js";
export type {
  ControlRecord,
  Desired,
  Lease,
  Order,
  OrderAction,
  OrderKind,
  UpstreamStatus,
} from "./types.js";
