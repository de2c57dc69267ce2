/** Rules of the control record: pure functions of (record, event). */
import type { Role } from "../config/index.js";
import type {
  ControlRecord,
  Desired,
  Lease,
  Order,
  OrderAction,
  UpstreamStatus,
} from "./types.js";

/** An order that someone wants to give. */
export interface OrderRequest {
  id: string;
  upstream: string;
  action: OrderAction;
  by: string;
}

export type OrderAnswer =
  | { kind: "accepted"; record: ControlRecord; order: Order }
  /** An order that is open already; the asker is told which. */
  | { kind: "lost"; winner: Order }
  /** The desired state is so already. */
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

const isSame = (action: OrderAction, desired: Desired | undefined): boolean => {
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

/** Gives an order, unless one is open or nothing would change. */
export const giveOrder = (
  record: ControlRecord,
  status: UpstreamStatus | undefined,
  request: OrderRequest,
): OrderAnswer => {
  const before = record.desired[request.upstream];
  if (before !== undefined && isOrderPending(before, status)) {
    return { kind: "lost", winner: before.order };
  }
  if (isSame(request.action, before)) return { kind: "same" };
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

/** The record after its lease is taken by a new holder. */
export const takeLease = (
  record: ControlRecord,
  holder: string,
): ControlRecord => {
  const epoch = (record.lease?.epoch ?? 0) + 1;
  return { ...record, lease: { holder, epoch, beat: 0 } };
};

/** The record after its holder renews its lease. */
export const renewLease = (
  record: ControlRecord,
  lease: Lease,
): ControlRecord => ({ ...record, lease: { ...lease, beat: lease.beat + 1 } });

/** The record after the control loop changed a role. */
export const recordRoleChange = (
  record: ControlRecord,
  wallNow: number,
): ControlRecord => ({ ...record, roleChangedAt: wallNow });
