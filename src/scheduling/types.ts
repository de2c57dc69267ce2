/** Requests, answers and events of the scheduler for model engines. */

export const STAGES = ["prefill", "decode"] as const;

/**
 * Work that an engine does: prefill (read prompts) or decode (generate tokens).
 */
export type Stage = (typeof STAGES)[number];

/** An engine that may be assigned work. */
export interface EngineView {
  id: string;
  /** Failure domain that the engine runs in. */
  domain: string;
  stage: Stage;
  slots: number;
  kvCapacityTokens: number;
  /** Version of the engine's software; undefined if not known. */
  softwareVersion?: string;
}

/** A part of a prompt that an engine may hold in its KV cache. */
export interface CachePart {
  id: string;
  tokens: number;
}

/** A prompt part that an engine reports as cached. */
export interface HeldPart extends CachePart {
  model: string;
}

/** The only software version in service, as far as a process has seen. */
export interface SoleVersion {
  version: string;
  /** For how long it has seen no other, ms. */
  forMs: number;
}

/** Which stream a request is for, over all tries of its caller. */
export interface StreamRef {
  /** Id of the caller's first request for it; undefined if it names none. */
  id: string | undefined;
  /** Whether its first events were the answer to an earlier request. */
  isResumed: boolean;
  /**
   * By a list that the sending process read after the request had come;
   * undefined if there are several versions, or it has not read one.
   */
  soleVersion: SoleVersion | undefined;
}

/** A request to be placed on engines. Times are in ms. */
export interface PlacementRequest {
  /** Unique across all entry processes. */
  id: string;
  service: string;
  /**
   * Requests of one route are assumed similar; statistics are kept per route.
   */
  route: string;
  domain: string;
  /** Workspace of the caller; empty if there is none. */
  workspace: string;
  model: string;
  promptTokens: number;
  /**
   * The caller's estimate of the output tokens, or `mostOutputTokens` if
   * absent.
   */
  outputTokens: number;
  /** Maximum number of output tokens. */
  mostOutputTokens: number;
  parts: CachePart[];
  /** Time left until the first event misses the latency objective. */
  objectiveLeftMs: number;
  /** Time left until the caller gives up if it has received no event. */
  deadlineLeftMs: number;
  /** Time left until the caller abandons an answer that has started. */
  answerLeftMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** The caller sent the request again after a refusal. */
  isReturn: boolean;
  /** Whether one engine must prefill and run it, if one can in time. */
  isWhole: boolean;
  /** Engines that rejected or failed this request. */
  avoid: string[];
  /** Engines that currently accept no work from the requesting process. */
  unavailable: string[];
  /**
   * Software version that began the stream: only its engines may go on with it.
   * Undefined if no event has been sent, or the version is not known yet.
   */
  runnerVersion?: string;
  /** Absent where callers can't resume streams. */
  stream?: StreamRef;
}

/** The engines assigned to a request. */
export interface Grant {
  kind: "granted";
  /** Engine that prefills the prompt; undefined if the runner does. */
  reader: string | undefined;
  /** Engine that decodes: it generates the output tokens. */
  runner: string;
  /** Engine from which the prefilling engine first copies cached parts. */
  donor: string | undefined;
  /** Expected time from now to the end of the prefill, ms. */
  readMs: number;
  /** Time from the lease holder's receipt of the request to the grant, ms. */
  waitedMs: number;
  /** Upper bound on the time since the grant was issued, ms. */
  ageMs: number;
  /** The version that began a resumed stream; absent for others. */
  origin?: { version: string; source: OriginSource };
}

export const ORIGIN_SOURCES = ["record", "sole-version"] as const;

/**
 * How the version that began a stream was found. `record`: its grant was
 * recorded; `sole-version`: no other version has served.
 */
export type OriginSource = (typeof ORIGIN_SOURCES)[number];

export const REFUSAL_CAUSES = [
  "no-engine",
  "no-version",
  "unknown-stream",
  "limited",
  "slots",
  "too-late",
  "over-share",
] as const;

/**
 * `no-engine`: no engine of one stage may be assigned work; `no-version`: no
 * decode engine of the version that began the stream; `unknown-stream`: it is not
 * known which version that was; `limited`: all
 * eligible engines of one stage are at their rate limit for the moment;
 * `slots`: all decode engines are full; `too-late`: the expected wait is too
 * long; `over-share`: the request exceeds the share of its route and workspace.
 */
export type RefusalCause = (typeof REFUSAL_CAUSES)[number];

/** The request waits for an engine; its answer follows later. */
export interface Queued {
  kind: "queued";
}

export interface Refusal {
  kind: "refused";
  why: RefusalCause;
  /** Time after which the caller should retry, ms from now; 0: in vain. */
  retryAfterMs: number;
}

export type PlacementAnswer = Grant | Refusal;

/** The stream that an entry process relayed for one run. */
export interface StreamResult {
  events: number;
  /** Time from the first event to the last, ms. */
  tookMs: number;
  /** Whether the caller did not receive the complete answer. */
  isCut: boolean;
}

/** Progress report on a granted request. */
export type PlacementEvent =
  /** The reader finished the prefill, or failed. */
  | { kind: "read"; id: string; ok: boolean }
  /** An engine does not serve its listed stage; the list is out of date. */
  | { kind: "wrong-stage"; id: string; engine: string }
  /** An engine accepted no work from the sending process. */
  | { kind: "rejected"; id: string }
  /** An engine announced that it is shutting down. */
  | { kind: "leaving"; id: string; engine: string }
  /** An engine is unresponsive: it does not even answer status requests. */
  | { kind: "silent"; id: string; engine: string }
  /** The runner prefilled the prompt itself and sent the first event. */
  | { kind: "begun"; id: string }
  /**
   * No engine has work for the request any more. `firstEventMs` is the time
   * from the send to the runner to the first event; 0 if none came. `stream`
   * is absent if the runner produced no events. `isHandleRefused`: the runner
   * refused the run with its prefill handle as not run.
   */
  | {
      kind: "ended";
      id: string;
      ok: boolean;
      firstEventMs: number;
      stream?: StreamResult;
      isHandleRefused?: boolean;
    };
