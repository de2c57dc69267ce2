/** Placement asks and answers as messages between gateways, both ways. */
import type {
  ConfigAnswer,
  PlaceAsk,
  PlaceEvent,
  PlaceReply,
  UsageWindow,
} from "../gen/snowgate.js";
import type {
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
  Queued,
  ReadCost,
  StreamResult,
} from "../scheduling/index.js";
import { REFUSAL_CAUSES } from "../scheduling/index.js";
import type { ConfigNews, WindowCounts } from "../workspaces/index.js";

const MOST_UINT32 = 2 ** 32 - 1;
const MOST_INT32 = 2 ** 31 - 1;

/** NaN counts as the least. */
const between = (least: number, value: number, most: number): number =>
  Math.min(most, Math.max(least, Math.round(value) || 0));

/**
 * Callers name these numbers. One that a message can't hold ends the stream
 * with the asks of all requests, and again at the next holder.
 */
const whole = (value: number): number => between(0, value, MOST_UINT32);

/** May be negative: that time is over. */
const signedMs = (value: number): number =>
  between(-MOST_INT32, value, MOST_INT32);

export const toPlaceAsk = (ask: PlacementAsk): PlaceAsk => ({
  id: ask.id,
  route: ask.route,
  domain: ask.domain,
  model: ask.model,
  promptTokens: whole(ask.promptTokens),
  outputTokens: whole(ask.outputTokens),
  parts: ask.parts.map(({ id, tokens }) => ({ id, tokens: whole(tokens) })),
  objectiveLeftMs: signedMs(ask.objectiveLeftMs),
  deadlineLeftMs: signedMs(ask.deadlineLeftMs),
  priority: whole(ask.priority),
  isReturn: ask.isReturn,
  avoid: ask.avoid,
  unavailable: ask.unavailable,
  answerLeftMs: whole(ask.answerLeftMs),
  mostOutputTokens: whole(ask.mostOutputTokens),
});

export const fromPlaceAsk = (service: string, ask: PlaceAsk): PlacementAsk => ({
  ...ask,
  service,
  // Older versions leave this unset, so fall back to the first-event deadline.
  answerLeftMs: Math.max(ask.answerLeftMs, ask.deadlineLeftMs),
  mostOutputTokens: Math.max(ask.mostOutputTokens, ask.outputTokens),
});

export const toPlaceEvent = (event: PlacementEvent): PlaceEvent => ({
  id: event.id,
  kind: event.kind,
  ok: event.kind === "read" || event.kind === "ended" ? event.ok : true,
  tookMs: event.kind === "ended" ? whole(event.firstEventMs) : 0,
  engine: "engine" in event ? event.engine : "",
  stream: event.kind === "ended" ? toStreamResult(event.stream) : undefined,
});

const toStreamResult = (stream: StreamResult | undefined) =>
  stream && {
    events: whole(stream.events),
    tookMs: whole(stream.tookMs),
    isCut: stream.isCut,
  };

/** Undefined for a kind that this version does not know. */
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
    return { kind, id, ok, firstEventMs: tookMs, stream };
  }
  return undefined;
};

/** What a holder says of itself with each reply. */
export interface HolderState {
  entries: number;
  isFresh: boolean;
  /** Place of the standby that is told, among those that take over. */
  standbyRank: number;
  /** What it has learnt of reading; undefined where nothing is new. */
  readPace: ReadCost | undefined;
  /** Its lease as it wrote it last; zeros where it has none. */
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
    readMs: isGrant ? whole(answer.readMs) : 0,
    waitedMs: isGrant ? whole(answer.waitedMs) : 0,
    refusal: isRefusal ? answer.why : "",
    retryAfterMs: isRefusal ? whole(answer.retryAfterMs) : 0,
    isQueued: answer?.kind === "queued",
    config: undefined,
    rates: [],
    permit: undefined,
    ...state,
  };
};

/** An empty text stands for none. */
export const emptyToUndefined = (text: string): string | undefined =>
  text === "" ? undefined : text;

/** `sinceAskMs` is the time since the ask was sent, by the client's clock. */
export const fromPlaceReply = (
  reply: PlaceReply,
  sinceAskMs: number,
): PlacementAnswer => {
  if (reply.runner !== "") {
    const { runner, readMs } = reply;
    const reader = emptyToUndefined(reply.reader);
    const donor = emptyToUndefined(reply.donor);
    const { waitedMs } = reply;
    const ageMs = Math.max(0, sinceAskMs - waitedMs);
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
