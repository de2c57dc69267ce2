/** Converts rate limits and permits to and from gateway messages. */
import type {
  PermitReply,
  RateNews as RateNewsMessage,
} from "../gen/snowgate.js";
import type { PermitAnswer, RateNews } from "../rateLimits/index.js";

const MAX_UINT32 = 2 ** 32 - 1;

/** Rounds up to uint32 ms, so that nobody sends a request too early. */
const toUint32Ms = (ms: number): number =>
  Math.min(MAX_UINT32, Math.max(0, Math.ceil(ms) || 0));

export const toRateNews = ({
  replica,
  perS,
  endedAgoMs,
  reportedAgoMs,
}: RateNews): RateNewsMessage => ({
  replica,
  perS,
  reportedAgoMs: toUint32Ms(reportedAgoMs),
  endedAgoMs: endedAgoMs === undefined ? undefined : toUint32Ms(endedAgoMs),
});

/**
 * Undefined if it contains no valid rate: other versions may send other values.
 */
export const fromRateNews = ({
  replica,
  perS,
  endedAgoMs,
  reportedAgoMs,
}: RateNewsMessage): RateNews | undefined =>
  perS >= 0 ? { replica, perS, endedAgoMs, reportedAgoMs } : undefined;

export const toPermitReply = (
  number: number,
  answer: PermitAnswer,
): PermitReply => ({
  number,
  isAcquired: answer.kind === "acquired",
  waitMs: answer.kind === "held-back" ? toUint32Ms(answer.waitMs) : 0,
});

export const fromPermitReply = ({
  isAcquired,
  waitMs,
}: PermitReply): PermitAnswer =>
  isAcquired ? { kind: "acquired" } : { kind: "held-back", waitMs };
