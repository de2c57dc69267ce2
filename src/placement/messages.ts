/** Converts placement requests and answers to and from gateway messages. */
import type {
  ConfigAnswer,
  PlaceAsk,
  PlaceEvent,
  PlaceReply,
  StreamRef as StreamRefMessage,
  UsageWindow,
} from "../gen/snowgate.js";
import type {
  Grant,
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
  Queued,
  PrefillCost,
  SoleVersion,
  StreamResult,
} from "../scheduling/index.js";
import { ORIGIN_SOURCES, REFUSAL_CAUSES } from "../scheduling/index.js";
import type { StreamOrigin } from "./streamOrigins.js";
import type { ConfigNews, WindowCounts } from "../workspaces/index.js";

const MAX_UINT32 = 2 ** 32 - 1;
const MAX_INT32 = 2 ** 31 - 1;
/** Keeps a message well below the transport's limit of 4 MB. */
const MAX_ORIGINS_PER_MESSAGE = 2000;

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
  stream: request.stream && {
    id: request.stream.id ?? "",
    isResumed: request.stream.isResumed,
    soleVersion: request.stream.soleVersion?.version ?? "",
    soleForMs: toUint32(request.stream.soleVersion?.forMs ?? 0),
  },
});

/** Older versions leave the time unset: theirs is no proof. */
const fromSoleVersion = ({
  soleVersion: version,
  soleForMs: forMs,
}: StreamRefMessage): SoleVersion | undefined =>
  version === "" ? undefined : { version, forMs };

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
  stream: ask.stream && {
    id: emptyToUndefined(ask.stream.id),
    isResumed: ask.stream.isResumed,
    soleVersion: fromSoleVersion(ask.stream),
  },
});

/** Origins in portions that fit a message. */
export const originBatches = (
  origins: readonly StreamOrigin[],
): StreamOrigin[][] => {
  const batches: StreamOrigin[][] = [];
  for (let at = 0; at < origins.length; at += MAX_ORIGINS_PER_MESSAGE) {
    const batch = origins.slice(at, at + MAX_ORIGINS_PER_MESSAGE);
    batches.push(
      batch.map((origin) => ({ ...origin, keepMs: toUint32(origin.keepMs) })),
    );
  }
  return batches;
};

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
    originVersion: isGrant ? (answer.origin?.version ?? "") : "",
    originSource: isGrant ? (answer.origin?.source ?? "") : "",
    origins: [],
    ...state,
  };
};

/** Maps an empty string to undefined. */
export const emptyToUndefined = (text: string): string | undefined =>
  text === "" ? undefined : text;

const fromOriginReply = ({
  originVersion: version,
  originSource,
}: PlaceReply): Grant["origin"] => {
  const source = ORIGIN_SOURCES.find((item) => item === originSource);
  return source && { version, source };
};

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
    const origin = fromOriginReply(reply);
    return { kind: "granted", reader, runner, donor, ...times, origin };
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
