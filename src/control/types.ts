/**
 * The control record of a service: one stored object that holds its lease
 * and the desired state of its engines together. A conditional update of it
 * is the only way to give an order, so that a process whose lease was taken
 * can't write: the taker has moved the version.
 */
import type { Role } from "../config/index.js";

/** Object kind of control records; named by their service. */
export const CONTROL_KIND = "control";
/** Object kind of what a side has carried out; named by its upstream. */
export const STATUS_KIND = "status";

/** Who runs a service's control loop. */
export interface Lease {
  holder: string;
  /** Grows with each new holder. */
  epoch: number;
  /** Grows with each renewal. */
  beat: number;
}

/** What is asked of one upstream. */
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
  /** Grows by one with each order of the upstream. */
  seq: number;
  id: string;
  action: OrderAction;
  /** Operator or control loop that gave it. */
  by: string;
  /** Epoch of the lease when it was given. */
  epoch: number;
}

/** Desired state of one upstream, with the order that made it. */
export interface Desired {
  order: Order;
  isDrained: boolean;
  role: Role;
}

/** The stored value of a control record. */
export interface ControlRecord {
  lease: Lease | null;
  desired: Record<string, Desired>;
  /** When a role was last changed by the control loop, ms since 1970. */
  roleChangedAt: number;
}

export const EMPTY_CONTROL: ControlRecord = {
  lease: null,
  desired: {},
  roleChangedAt: 0,
};

export const PHASES = ["claimed", "started", "done", "failed"] as const;

/** How far a side is with the order `seq`. */
export type Phase = (typeof PHASES)[number];

/** The stored status of one upstream; only its side writes it. */
export interface UpstreamStatus {
  /** The side that has claimed the upstream. */
  incarnation: string;
  /** The newest order that was begun. */
  seq: number;
  phase: Phase;
  detail: string;
}
