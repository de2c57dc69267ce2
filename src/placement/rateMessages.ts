/** Rates of replicas and permits as messages between gateways, both ways. */
import type {
  PermitReply,
  RateNews as RateNewsMessage,
} from "../gen/snowgate.js";
import type { PermitAnswer, RateNews } from "../rateLimits/index.js";

const MOST_UINT32 = 2 ** 32 - 1;

/** Ms as a message holds them, rounded up: nobody asks too early. */
const wholeMs = (ms: number): number =>
  Math.min(MOST_UINT32, Math.max(0, Math.ceil(ms) || 0));

export const toRateNews = ({
  replica,
  perS,
  endedAgoMs,
}: RateNews): RateNewsMessage => ({
  replica,
  perS,
  endedAgoMs: endedAgoMs === undefined ? undefined : wholeMs(endedAgoMs),
});

/** Undefined where it names no rate: another version may mean more. */
export const fromRateNews = ({
  replica,
  perS,
  endedAgoMs,
}: RateNewsMessage): RateNews | undefined =>
  perS >= 0 ? { replica, perS, endedAgoMs } : undefined;

export const toPermitReply = (
  number: number,
  answer: PermitAnswer,
): PermitReply => ({
  number,
  isAcquired: answer.kind === "acquired",
  waitMs: answer.kind === "held-back" ? wholeMs(answer.waitMs) : 0,
});

export const fromPermitReply = ({
  isAcquired,
  waitMs,
}: PermitReply): PermitAnswer =>
  isAcquired ? { kind: "acquired" } : { kind: "held-back", waitMs };
