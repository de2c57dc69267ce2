/** State transitions of the control record, as pure functions. */
import type { Role } from "../config/index.js";
import type {
  ControlRecord,
  Desired,
  Lease,
  Order,
  OrderAction,
  UpstreamStatus,
} from "./types.js";

/** An order to be given. */
export interface OrderRequest {
  id: string;
  upstream: string;
  action: OrderAction;
  by: string;
}

export type OrderAnswer =
  | { kind: "accepted"; record: ControlRecord; order: Order }
  /** Another order of the upstream is still pending; `winner` is that order. */
  | { kind: "lost"; winner: Order }
  /** The order would not change the desired state. */
  | { kind: "same" };

/** Whether the newest order of an upstream is not finished yet. */
export const isOrderPending = (
  desired: Desired | undefined,
  status: UpstreamStatus | undefined,
): boolean => {
  if (desired === undefined) return false;
  if (status === undefined || status.seq < desired.order.seq) return true;
  return status.phase === "started";
};

const roleAfter = (action: OrderAction, before: Role): Role =>
  action.kind === "role" ? action.value : before;

const drainedAfter = (action: OrderAction, before: boolean): boolean => {
  switch (action.kind) {
    case "drain":
      return true;
    case "undrain":
      return false;
    default:
      return before;
  }
};

const isAlreadyDesired = (
  action: OrderAction,
  desired: Desired | undefined,
): boolean => {
  const isDrained = desired?.isDrained ?? false;
  const role = desired?.role ?? "mixed";
  switch (action.kind) {
    case "drain":
      return isDrained;
    case "undrain":
      return !isDrained;
    case "role":
      return role === action.value;
    default:
      return false;
  }
};

/** Adds an order to the record unless one is pending or nothing would change. */
export const giveOrder = (
  record: ControlRecord,
  status: UpstreamStatus | undefined,
  request: OrderRequest,
): OrderAnswer => {
  const before = record.desired[request.upstream];
  if (before !== undefined && isOrderPending(before, status)) {
    return { kind: "lost", winner: before.order };
  }
  if (isAlreadyDesired(request.action, before)) return { kind: "same" };
  const order: Order = {
    seq: (before?.order.seq ?? 0) + 1,
    id: request.id,
    action: request.action,
    by: request.by,
    epoch: record.lease?.epoch ?? 0,
  };
  const desired: Desired = {
    order,
    isDrained: drainedAfter(request.action, before?.isDrained ?? false),
    role: roleAfter(request.action, before?.role ?? "mixed"),
  };
  const next: ControlRecord = {
    ...record,
    desired: { ...record.desired, [request.upstream]: desired },
  };
  return { kind: "accepted", record: next, order };
};

/** Returns the record with its lease taken by a new holder. */
export const takeLease = (
  record: ControlRecord,
  holder: string,
): ControlRecord => {
  const epoch = (record.lease?.epoch ?? 0) + 1;
  return { ...record, lease: { holder, epoch, beat: 0 } };
};

/** Returns the record with its lease renewed by the holder. */
export const renewLease = (
  record: ControlRecord,
  lease: Lease,
): ControlRecord => ({ ...record, lease: { ...lease, beat: lease.beat + 1 } });

/** Returns the record with the time of a role change by the control loop. */
export const recordRoleChange = (
  record: ControlRecord,
  wallNow: number,
): ControlRecord => ({ ...record, roleChangedAt: wallNow });
