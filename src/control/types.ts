/**
 * The control record of a service: one stored object with both its lease and
 * the desired state of its engines. Orders are given only by a conditional
 * update of it, so a process that lost the lease can't write: the new holder
 * has changed the version.
 */
import type { Role } from "../config/index.js";

/** Object kind of control records; the object name is the service. */
export const CONTROL_KIND = "control";
/** Object kind of order statuses; the object name is the upstream. */
export const STATUS_KIND = "status";

/** Lease of the process that runs a service's control loop. */
export interface Lease {
  holder: string;
  /** Incremented with each new holder. */
  epoch: number;
  /** Incremented with each renewal. */
  beat: number;
}

/** The action that an order requests from an upstream. */
export type OrderAction =
  | { kind: "drain" }
  | { kind: "undrain" }
  | { kind: "role"; value: Role }
  | { kind: "load-model"; value: string }
  | { kind: "unload-model"; value: string }
  | { kind: "load-adapter"; value: string };

export type OrderKind = OrderAction["kind"];

/** The newest order of one upstream. */
export interface Order {
  /** Incremented with each order of the upstream. */
  seq: number;
  id: string;
  action: OrderAction;
  /** The operator or control loop that gave the order. */
  by: string;
  /** Lease epoch at which the order was given. */
  epoch: number;
}

/** Desired state of one upstream, with the order that set it. */
export interface Desired {
  order: Order;
  isDrained: boolean;
  role: Role;
}

/** The stored value of a control record. */
export interface ControlRecord {
  lease: Lease | null;
  desired: Record<string, Desired>;
  /** Time of the control loop's last role change, ms since 1970. */
  roleChangedAt: number;
}

export const EMPTY_CONTROL: ControlRecord = {
  lease: null,
  desired: {},
  roleChangedAt: 0,
};

export const PHASES = ["claimed", "started", "done", "failed"] as const;

/** Progress of a side on the order `seq`. */
export type Phase = (typeof PHASES)[number];

/** The stored order status of one upstream; only its side writes it. */
export interface UpstreamStatus {
  /** Incarnation of the side that has claimed the upstream. */
  incarnation: string;
  /** Sequence number of the newest order that was started. */
  seq: number;
  phase: Phase;
  detail: string;
}
