/** Converts placement requests and answers to and from gateway messages. */
import type {
  ConfigAnswer,
  PlaceAsk,
  PlaceEvent,
  PlaceReply,
  UsageWindow,
} from "../gen/snowgate.js";
import type {
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
  Queued,
  PrefillCost,
  StreamResult,
} from "../scheduling/index.js";
import { REFUSAL_CAUSES } from "../scheduling/index.js";
import type { ConfigNews, WindowCounts } from "../workspaces/index.js";

const MAX_UINT32 = 2 ** 32 - 1;
const MAX_INT32 = 2 ** 31 - 1;

/** Rounds and clamps to a range; NaN becomes 0 before clamping. */
const clampRounded = (min: number, value: number, max: number): number =>
  Math.min(max, Math.max(min, Math.round(value) || 0));

/**
 * Clamps to uint32. Callers choose these numbers; one that a message can't hold
 * would end the stream with all its placement requests, and again at the next
 * holder.
 */
export const toUint32 = (value: number): number =>
  clampRounded(0, value, MAX_UINT32);

/** Clamps to int32; negative if the time has already passed. */
const toInt32 = (value: number): number =>
  clampRounded(-MAX_INT32, value, MAX_INT32);

export const toPlaceAsk = (request: PlacementRequest): PlaceAsk => ({
  id: request.id,
  route: request.route,
  domain: request.domain,
  model: request.model,
  promptTokens: toUint32(request.promptTokens),
  outputTokens: toUint32(request.outputTokens),
  parts: request.parts.map(({ id, tokens }) => ({
    id,
    tokens: toUint32(tokens),
  })),
  objectiveLeftMs: toInt32(request.objectiveLeftMs),
  deadlineLeftMs: toInt32(request.deadlineLeftMs),
  priority: toUint32(request.priority),
  isReturn: request.isReturn,
  avoid: request.avoid,
  unavailable: request.unavailable,
  answerLeftMs: toUint32(request.answerLeftMs),
  mostOutputTokens: toUint32(request.mostOutputTokens),
  workspace: request.workspace,
  isWhole: request.isWhole,
  runnerVersion: request.runnerVersion ?? "",
});

export const fromPlaceAsk = (
  service: string,
  ask: PlaceAsk,
): PlacementRequest => ({
  ...ask,
  service,
  // Older versions leave this unset, so fall back to the first-event deadline.
  answerLeftMs: Math.max(ask.answerLeftMs, ask.deadlineLeftMs),
  mostOutputTokens: Math.max(ask.mostOutputTokens, ask.outputTokens),
  runnerVersion: emptyToUndefined(ask.runnerVersion),
});

export const toPlaceEvent = (event: PlacementEvent): PlaceEvent => ({
  id: event.id,
  kind: event.kind,
  ok: event.kind === "read" || event.kind === "ended" ? event.ok : true,
  tookMs: event.kind === "ended" ? toUint32(event.firstEventMs) : 0,
  engine: "engine" in event ? event.engine : "",
  stream: event.kind === "ended" ? toStreamResult(event.stream) : undefined,
  isHandleRefused: event.kind === "ended" && event.isHandleRefused === true,
});

const toStreamResult = (stream: StreamResult | undefined) =>
  stream && {
    events: toUint32(stream.events),
    tookMs: toUint32(stream.tookMs),
    isCut: stream.isCut,
  };

/** Undefined for an event kind that this version does not know. */
export const fromPlaceEvent = (
  event: PlaceEvent,
): PlacementEvent | undefined => {
  const { id, kind, ok, tookMs, engine, stream } = event;
  if (kind === "begun" || kind === "rejected") return { kind, id };
  if (kind === "read") return { kind, id, ok };
  const isOfEngine =
    kind === "wrong-stage" || kind === "silent" || kind === "leaving";
  if (isOfEngine) return { kind, id, engine };
  if (kind === "ended") {
    const { isHandleRefused } = event;
    return { kind, id, ok, firstEventMs: tookMs, stream, isHandleRefused };
  }
  return undefined;
};

/** State of the lease holder, sent with each reply. */
export interface HolderState {
  entries: number;
  isFresh: boolean;
  /** Rank of the receiving standby in the takeover order. */
  standbyRank: number;
  /** Measured prefill pace; undefined if unchanged. */
  readPace: PrefillCost | undefined;
  /** The lease as the holder last wrote it; zeros if it has none. */
  leaseEpoch: number;
  leaseBeat: number;
}

export const toPlaceReply = (
  id: string,
  answer: PlacementAnswer | Queued | undefined,
  state: HolderState,
): PlaceReply => {
  const isGrant = answer?.kind === "granted";
  const isRefusal = answer?.kind === "refused";
  return {
    id,
    runner: isGrant ? answer.runner : "",
    reader: isGrant ? (answer.reader ?? "") : "",
    donor: isGrant ? (answer.donor ?? "") : "",
    readMs: isGrant ? toUint32(answer.readMs) : 0,
    waitedMs: isGrant ? toUint32(answer.waitedMs) : 0,
    refusal: isRefusal ? answer.why : "",
    retryAfterMs: isRefusal ? toUint32(answer.retryAfterMs) : 0,
    isQueued: answer?.kind === "queued",
    config: undefined,
    rates: [],
    permit: undefined,
    shares: [],
    sharesRevision: 0,
    seen: [],
    newHolder: undefined,
    ...state,
  };
};

/** Maps an empty string to undefined. */
export const emptyToUndefined = (text: string): string | undefined =>
  text === "" ? undefined : text;

/**
 * `sinceRequestMs` is the time since the request was sent, by the client's
 * clock.
 */
export const fromPlaceReply = (
  reply: PlaceReply,
  sinceRequestMs: number,
): PlacementAnswer => {
  if (reply.runner !== "") {
    const { runner, readMs } = reply;
    const reader = emptyToUndefined(reply.reader);
    const donor = emptyToUndefined(reply.donor);
    const { waitedMs } = reply;
    const ageMs = Math.max(0, sinceRequestMs - waitedMs);
    const times = { readMs, waitedMs, ageMs };
    return { kind: "granted", reader, runner, donor, ...times };
  }
  const why =
    REFUSAL_CAUSES.find((item) => item === reply.refusal) ?? "too-late";
  return { kind: "refused", why, retryAfterMs: reply.retryAfterMs };
};

export const toUsageWindow = (
  process: string,
  { seq, counts }: WindowCounts,
): UsageWindow => ({ seq, process, counts });

export const toConfigAnswer = (
  number: number,
  { revision, ageMs, value }: ConfigNews,
): ConfigAnswer => {
  const text = value === undefined ? "" : JSON.stringify(value);
  const valueJson = Buffer.from(text);
  return { number, revision, ageMs: Math.ceil(ageMs), valueJson };
};

export const fromConfigAnswer = (answer: ConfigAnswer): ConfigNews => {
  const { revision, ageMs, valueJson } = answer;
  const text = Buffer.from(valueJson).toString("utf8");
  const value: unknown = text === "" ? undefined : JSON.parse(text);
  return { revision, ageMs, value };
};
