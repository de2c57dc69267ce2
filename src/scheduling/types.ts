/** Events and answers of the scheduler of model engines. */

export const STAGES = ["prefill", "decode"] as const;

/** What an engine does: reads prompts, or makes tokens. */
export type Stage = (typeof STAGES)[number];

/** One engine that may get work. */
export interface EngineView {
  id: string;
  /** Failure domain that it stands in. */
  domain: string;
  stage: Stage;
  slots: number;
  kvCapacityTokens: number;
}

/** A part of a prompt that the cache of an engine may hold. */
export interface CachePart {
  id: string;
  tokens: number;
}

/** A part that an engine says it holds. */
export interface HeldPart extends CachePart {
  model: string;
}

/** One request that wants engines. Times are in ms. */
export interface PlacementRequest {
  /** Unique among the requests of all entries. */
  id: string;
  service: string;
  /** Requests of one route are of one kind. */
  route: string;
  domain: string;
  model: string;
  promptTokens: number;
  /** The caller's estimate, or the upper limit if it gave none. */
  outputTokens: number;
  /** Upper limit of the output tokens. */
  mostOutputTokens: number;
  parts: CachePart[];
  /** Left until the first event is too late to be in time. */
  objectiveLeftMs: number;
  /** Left until the caller gives up if it has seen nothing. */
  deadlineLeftMs: number;
  /** Time left until the caller abandons an answer that has begun. */
  answerLeftMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Came back after a refusal. */
  isReturn: boolean;
  /** Engines that refused or failed this request. */
  avoid: string[];
  /** Engines that want nothing from the process that asks, for now. */
  unavailable: string[];
}

/** Where a request goes. */
export interface Grant {
  kind: "granted";
  /** Engine that reads the prompt for the runner; absent: the runner. */
  reader: string | undefined;
  runner: string;
  /** Engine from which the one that reads takes cached parts first. */
  donor: string | undefined;
  /** Expected time from now to the end of the read, ms. */
  readMs: number;
  /** Time from the holder's receipt of the request to the grant, ms. */
  waitedMs: number;
  /** Upper bound on the time since the grant was issued, ms. */
  ageMs: number;
}

export const REFUSAL_CAUSES = [
  "no-engine",
  "limited",
  "slots",
  "too-late",
] as const;

/**
 * `no-engine`: none of a stage may get work; `limited`: all of a stage take
 * no more for a moment; `slots`: all that make tokens are full; `too-late`:
 * its turn would not come soon enough.
 */
export type RefusalCause = (typeof REFUSAL_CAUSES)[number];

/** It waits for an engine; its answer comes later. */
export interface Queued {
  kind: "queued";
}

export interface Refusal {
  kind: "refused";
  why: RefusalCause;
  /** When there may be room, ms from now. */
  retryAfterMs: number;
}

export type PlacementAnswer = Grant | Refusal;

/** What an entry relayed of one run. */
export interface StreamResult {
  events: number;
  /** From the first event to the last, ms. */
  tookMs: number;
  /** Whether the caller did not receive the complete answer. */
  isCut: boolean;
}

/** What became of a granted request. */
export type PlacementEvent =
  /** The reader has read the prompt, or failed to. */
  | { kind: "read"; id: string; ok: boolean }
  /** An engine does not do what its stage says: known too late. */
  | { kind: "wrong-stage"; id: string; engine: string }
  /** An engine wanted no work from the process that sent it. */
  | { kind: "rejected"; id: string }
  /** An engine says that it leaves. */
  | { kind: "leaving"; id: string; engine: string }
  /** An engine answers nothing, not even what it does. */
  | { kind: "silent"; id: string; engine: string }
  /** The runner has read the prompt itself and sent the first event. */
  | { kind: "begun"; id: string }
  /**
   * Nothing of it is at any engine any more. The first event came
   * `firstEventMs` after the send to the runner; 0 if none came. `stream` is
   * absent if the runner produced no events.
   */
  | {
      kind: "ended";
      id: string;
      ok: boolean;
      firstEventMs: number;
      stream?: StreamResult;
    };
