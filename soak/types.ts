/** What the soak writes down while it runs, and what it finds in it. */
import type { AnnouncedSignals } from "../platform/standins/replica.js";

/** What callers may send: plain requests and streams. */
export const CALL_KINDS = ["safe", "unsafe", "resumable", "draft"] as const;

export type CallKind = (typeof CALL_KINDS)[number];

/** How often a request of a kind may run. */
export const MAY_RUN_AGAIN: Readonly<Record<CallKind, boolean>> = {
  safe: true,
  unsafe: false,
  resumable: true,
  draft: false,
};

/** Which kinds are answered by a stream of events. */
export const IS_STREAM: Readonly<Record<CallKind, boolean>> = {
  safe: false,
  unsafe: false,
  resumable: true,
  draft: true,
};

/** One request as its caller saw it. Times are ms of one clock. */
export interface CallRecord {
  id: string;
  kind: CallKind;
  /** Entry process, and which of its lives. */
  entry: string;
  life: number;
  sentAt: number;
  /** When the response headers arrived; undefined if none did. */
  headAt: number | undefined;
  endedAt: number;
  /** 0: no head came. */
  status: number;
  /** Whether the answer ended as its framing says. */
  isWhole: boolean;
  /** Request id that the answer names. */
  answerId: string | undefined;
  /** Replica whose signature the answer bears. */
  signedBy: string | undefined;
  /** Replica that the body names; plain answers only. */
  bodyBy: string | undefined;
  /** Ids of the events that came, in order; streams only. */
  events: number[];
}

/** One question for a route that a configuration added. */
export interface ProbeRecord {
  id: string;
  entry: string;
  life: number;
  /** Configuration that added the route. */
  version: number;
  sentAt: number;
  /** When the response headers arrived; undefined if none did. */
  headAt: number | undefined;
  endedAt: number;
  status: number;
  /** Replica named in the signature of the answer, if any. */
  signedBy: string | undefined;
}

/** A request that began to run at a replica. */
export interface RunRecord {
  requestId: string;
  replica: string;
  at: number;
}

/** A request that reached a replica, also one that it turned away. */
export interface ArrivalRecord {
  requestId: string;
  replica: string;
  at: number;
  told: AnnouncedSignals;
}

/** From then on a replica names this limit; undefined: none. */
export interface LimitRecord {
  replica: string;
  at: number;
  perS: number | undefined;
}

/** An order that a replica took. */
export interface OrderRecord {
  replica: string;
  holder: string;
  fence: number;
  at: number;
}

/** When and how the soak did harm. */
export interface FaultRecord {
  name: string;
  /** Which of several ways; empty where there is one. */
  variant: string;
  /** What it struck. */
  target: string;
  from: number;
  /** `Infinity` while it lasts. */
  until: number;
  /** Planned work, such as a stop by SIGTERM, must cut nothing. */
  isPlanned: boolean;
}

/** A change that everybody must know of after a while. */
export interface NewsRecord {
  kind: "configuration" | "leaving";
  /** Version, or replica that leaves. */
  subject: string;
  at: number;
}

/** A stall of the event loop that the callers and replicas share. */
export interface StallRecord {
  from: number;
  until: number;
}

export interface SoakRecords {
  calls: CallRecord[];
  probes: ProbeRecord[];
  runs: RunRecord[];
  arrivals: ArrivalRecord[];
  limits: LimitRecord[];
  orders: OrderRecord[];
  faults: FaultRecord[];
  news: NewsRecord[];
  stalls: StallRecord[];
}

/** A promise that did not hold. */
export interface Violation {
  promise: string;
  what: string;
}
