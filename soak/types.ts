/** Records that a soak run collects, and the violations found in them. */
import type { AnnouncedSignals } from "../platform/standins/replica.js";
import type { RetryLimits } from "../src/gateway/index.js";

/** Kinds of request that callers send: plain requests and streams. */
export const CALL_KINDS = ["safe", "unsafe", "resumable", "draft"] as const;

export type CallKind = (typeof CALL_KINDS)[number];

/** Path of the requests of a kind, on a route of the stand-in configuration. */
export const CALL_PATHS: Readonly<Record<CallKind, string>> = {
  safe: "/safe/a",
  unsafe: "/unsafe/a",
  resumable: "/resume/a",
  draft: "/draft/a",
};

/** Whether a request of the kind may run more than once. */
export const IS_RETRYABLE: Readonly<Record<CallKind, boolean>> = {
  safe: true,
  unsafe: false,
  resumable: true,
  draft: false,
};

/** Whether the answer to a request of the kind is a stream of events. */
export const IS_STREAM: Readonly<Record<CallKind, boolean>> = {
  safe: false,
  unsafe: false,
  resumable: true,
  draft: true,
};

/** One request as its caller saw it. Times are ms of the shared clock. */
export interface CallRecord {
  id: string;
  kind: CallKind;
  /** Entry process and how many times it had been started. */
  entry: string;
  life: number;
  sentAt: number;
  /** When the response headers arrived; undefined if none did. */
  headAt: number | undefined;
  endedAt: number;
  /** HTTP status; 0 if no response headers arrived. */
  status: number;
  /** Whether the answer was received up to the end of its framing. */
  isWhole: boolean;
  /** Request id in the headers of the answer. */
  answerId: string | undefined;
  /** Replica that signed the answer. */
  signedBy: string | undefined;
  /** Replica named in the body; plain answers only. */
  bodyBy: string | undefined;
  /** Ids of the received events, in order; streams only. */
  events: number[];
  /** Software version that wrote each of them; without one that was cut off. */
  versions: (string | undefined)[];
  /** Set if the request continues a stream that was cut. */
  resumption?: ResumptionRecord;
  /** Ids of the parts of its prompt, if any. */
  parts?: readonly string[];
}

/** What a caller names when it continues a stream. */
export interface ResumptionRecord {
  /** Id of the request that brought the stream's first event. */
  streamId: string;
  lastEventId: number;
  /** Whether the named id is the true one, rather than invented. */
  isTrue: boolean;
}

/** An engine and how long it was listed as ready. */
export interface EngineRecord {
  replica: string;
  version: string;
  from: number;
  /** `Infinity` while it is listed as ready. */
  until: number;
}

/** One request to a route that a configuration version added. */
export interface ProbeRecord {
  id: string;
  entry: string;
  life: number;
  /** Configuration version that added the route. */
  version: number;
  sentAt: number;
  /** When the response headers arrived; undefined if none did. */
  headAt: number | undefined;
  endedAt: number;
  status: number;
  /** Replica named in the signature of the answer, if any. */
  signedBy: string | undefined;
}

/** A request that a replica started to run. */
export interface RunRecord {
  requestId: string;
  replica: string;
  at: number;
}

/** A request that reached a replica, including one that it refused. */
export interface ArrivalRecord {
  requestId: string;
  replica: string;
  phase: "read" | "run";
  at: number;
  /** Ids of its prompt's parts. */
  parts: readonly string[];
  told: AnnouncedSignals;
}

/** An engine that ended because it wrote an answer on a prompt part. */
export interface PartEndRecord {
  part: string;
  replica: string;
  at: number;
}

/**
 * The limit in requests per second that a replica announces from `at` on;
 * undefined: none.
 */
export interface LimitRecord {
  replica: string;
  at: number;
  perS: number | undefined;
}

/** An order that a replica accepted. */
export interface OrderRecord {
  replica: string;
  holder: string;
  fence: number;
  at: number;
}

/** One injected fault. */
export interface FaultRecord {
  name: string;
  /** Variant of the fault; empty if it has only one. */
  variant: string;
  /** Process, replica or other component that the fault hits. */
  target: string;
  from: number;
  /** `Infinity` while the fault lasts. */
  until: number;
  /** Planned work, such as a stop by SIGTERM, must not cut any request. */
  isPlanned: boolean;
}

/** A change that must reach every process within a bounded time. */
export interface ChangeRecord {
  kind: "configuration" | "leaving" | "removed";
  /** Configuration version, or id of the replica. */
  subject: string;
  at: number;
}

/** A process that ended without having been stopped or killed. */
export interface ProcessEndRecord {
  process: string;
  at: number;
}

/** A stall of the event loop that callers and replicas share. */
export interface StallRecord {
  from: number;
  until: number;
}

export interface SoakRecords {
  calls: CallRecord[];
  probes: ProbeRecord[];
  runs: RunRecord[];
  arrivals: ArrivalRecord[];
  partEnds: PartEndRecord[];
  engines: EngineRecord[];
  limits: LimitRecord[];
  orders: OrderRecord[];
  faults: FaultRecord[];
  news: ChangeRecord[];
  stalls: StallRecord[];
  processEnds: ProcessEndRecord[];
  /** As in the settings of the entries. */
  retryLimits: RetryLimits;
}

/** Finds the violations of one promise. */
export type Check = (records: SoakRecords) => Violation[];

/** A broken promise. */
export interface Violation {
  promise: string;
  what: string;
}
