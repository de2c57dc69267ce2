/**
 * Simulates, in virtual time, entries that send to one rate-limited replica.
 * Each entry asks the lease holder for permits, or uses its own small share
 * while the holder can't be reached. Permits are decided by the production
 * code; messages between processes take no time.
 */
import type {
  EntryArrival,
  AnnouncedLimit,
} from "../../platform/standins/rateJudge.js";
import { RateLimits } from "../../src/rateLimits/index.js";
import type { PermitAnswer, PermitShare } from "../../src/rateLimits/index.js";
import { seededRng } from "../../src/shared/rng.js";
import type { Rng } from "../../src/shared/rng.js";

const REPLICA = "r";
const STEP_MS = 5;
const MS_PER_SECOND = 1000;
/** Fraction of the rate that entries without a holder share, as in production. */
const FRACTION_WITHOUT_HOLDER = 0.5;

export interface PermitFleetOptions {
  seed: number;
  entries: number;
  /** Requests per second that all entries together have for the replica. */
  demandPerS: number;
  /** `uneven`: a tenth of the entries carries nine tenths of the load. */
  load: "even" | "uneven";
  /** Limits that the replica names, each from `at` on; all entries learn each at once. */
  named: readonly AnnouncedLimit[];
  /** Which holder entries can reach at that time; `next` is a second process. */
  holderAt?: (now: number) => "first" | "next" | "none";
  /** Whether that entry can't reach any holder. */
  isCutOff?: (entry: number, now: number) => boolean;
  /** Time before which no entry has a request, ms. */
  idleUntil?: number;
}

interface Entry {
  rates: RateLimits;
  perMs: number;
  heldBackUntil: number;
}

/** Simulates `ms` milliseconds and returns what all entries sent. */
export const simulatePermits = (
  options: PermitFleetOptions,
  ms: number,
): EntryArrival[] => {
  const rng = seededRng(options.seed);
  const entries = newEntries(options, rng);
  const holders = {
    first: newRateLimits(rng, { fraction: 1, isAllocator: true }),
    next: newRateLimits(rng, { fraction: 1, isAllocator: true }),
  };
  const all = [...entries.map(({ rates }) => rates), ...Object.values(holders)];
  const arrivals: EntryArrival[] = [];
  const { named, holderAt = () => "first", isCutOff = () => false } = options;
  let namedCount = 0;
  let lastHolder: RateLimits | undefined;
  for (let now = 0; now < ms; now += STEP_MS) {
    for (
      ;
      namedCount < named.length && (named[namedCount]?.at ?? Infinity) <= now;
      namedCount += 1
    )
      recordAtAll(all, named[namedCount]?.perS, now);
    const holderName = holderAt(now);
    const holder = holderName === "none" ? undefined : holders[holderName];
    if (holder !== lastHolder)
      holder?.recordAnswer(
        REPLICA,
        answerNaming(currentLimit(named, now), now),
        now,
      );
    lastHolder = holder;
    if (now < (options.idleUntil ?? 0)) continue;
    for (const [at, entry] of entries.entries()) {
      if (rng() >= entry.perMs * STEP_MS || now < entry.heldBackUntil) continue;
      const answer =
        isCutOff(at, now) || holder === undefined
          ? acquirePermit(entry.rates, now)
          : acquirePermit(holder, now);
      if (answer.kind === "acquired")
        arrivals.push({ entry: String(at), at: now });
      else entry.heldBackUntil = now + retryDelayMs(answer.waitMs, rng);
    }
  }
  return arrivals;
};

/** Time until an entry asks again, as for plain requests in production. */
const retryDelayMs = (waitMs: number, rng: Rng): number =>
  Math.min(1000, Math.max(20, waitMs + rng() * Math.min(waitMs, 250)));

const newRateLimits = (rng: Rng, share: PermitShare): RateLimits => {
  const rates = new RateLimits(rng);
  rates.shareOf = () => share;
  return rates;
};

const newEntries = (
  { entries, demandPerS, load }: PermitFleetOptions,
  rng: Rng,
): Entry[] => {
  const busyEntries = Math.max(1, Math.round(entries / 10));
  return Array.from({ length: entries }, (_, at) => {
    const share = {
      fraction: FRACTION_WITHOUT_HOLDER / entries,
      isAllocator: false,
    };
    const loadFraction =
      load === "even"
        ? 1 / entries
        : at < busyEntries
          ? 0.9 / busyEntries
          : 0.1 / (entries - busyEntries);
    const perMs = (demandPerS * loadFraction) / MS_PER_SECOND;
    return { rates: newRateLimits(rng, share), perMs, heldBackUntil: 0 };
  });
};

const answerNaming = (perS: number | undefined, now: number) => ({
  perS,
  mayEnd: true,
  sentAt: now,
});

const currentLimit = (
  named: readonly AnnouncedLimit[],
  now: number,
): number | undefined => named.filter(({ at }) => at <= now).at(-1)?.perS;

const recordAtAll = (
  all: readonly RateLimits[],
  perS: number | undefined,
  now: number,
): void => {
  for (const rates of all)
    rates.recordAnswer(REPLICA, answerNaming(perS, now), now);
};

const acquirePermit = (rates: RateLimits, now: number): PermitAnswer =>
  rates.acquire(REPLICA, now)
    ? { kind: "acquired" }
    : { kind: "held-back", waitMs: rates.waitMs(REPLICA, now) };
