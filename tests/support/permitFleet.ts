/**
 * Entries that send to one limited replica, in virtual time: each asks the
 * process that spends the rate, or uses its own small share while that one
 * can't be reached. Decisions are the real ones; a hop takes no time.
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
/** Entries without a holder share half of the rate; as the product has it. */
const UNLED_PART = 0.5;

export interface PermitFleetOptions {
  seed: number;
  entries: number;
  /** Requests a second that would go to the replica from all entries. */
  demandPerS: number;
  /** `uneven`: a tenth of the entries has nine tenths of the load. */
  load: "even" | "uneven";
  /** What the replica says from when on; its first answer tells all. */
  named: readonly AnnouncedLimit[];
  /** Whether entries reach a holder at that time; `next`: another one. */
  holderAt?: (now: number) => "first" | "next" | "none";
  /** Whether that entry is cut off from whoever holds. */
  isCutOff?: (entry: number, now: number) => boolean;
  /** No entry has a request before. */
  idleUntil?: number;
}

interface Entry {
  rates: RateLimits;
  perMs: number;
  heldBackUntil: number;
}

/** Sends of all entries in that time, ms. */
export const playPermits = (
  options: PermitFleetOptions,
  ms: number,
): EntryArrival[] => {
  const rng = seededRng(options.seed);
  const entries = newEntries(options, rng);
  const holders = {
    first: spender(rng, { fraction: 1, isAllocator: true }),
    next: spender(rng, { fraction: 1, isAllocator: true }),
  };
  const all = [...entries.map(({ rates }) => rates), ...Object.values(holders)];
  const arrivals: EntryArrival[] = [];
  const { named, holderAt = () => "first", isCutOff = () => false } = options;
  let told = 0;
  let lastHolder: RateLimits | undefined;
  for (let now = 0; now < ms; now += STEP_MS) {
    for (
      ;
      told < named.length && (named[told]?.at ?? Infinity) <= now;
      told += 1
    )
      tellAll(all, named[told]?.perS, now);
    const which = holderAt(now);
    const holder = which === "none" ? undefined : holders[which];
    if (holder !== lastHolder)
      holder?.recordAnswer(REPLICA, word(current(named, now), now), now);
    lastHolder = holder;
    if (now < (options.idleUntil ?? 0)) continue;
    for (const [at, entry] of entries.entries()) {
      if (rng() >= entry.perMs * STEP_MS || now < entry.heldBackUntil) continue;
      const answer =
        isCutOff(at, now) || holder === undefined
          ? permit(entry.rates, now)
          : permit(holder, now);
      if (answer.kind === "acquired")
        arrivals.push({ entry: String(at), at: now });
      else entry.heldBackUntil = now + heldMs(answer.waitMs, rng);
    }
  }
  return arrivals;
};

/** As entries ask again for plain requests. */
const heldMs = (waitMs: number, rng: Rng): number =>
  Math.min(1000, Math.max(20, waitMs + rng() * Math.min(waitMs, 250)));

const spender = (rng: Rng, share: PermitShare): RateLimits => {
  const rates = new RateLimits(rng);
  rates.shareOf = () => share;
  return rates;
};

const newEntries = (
  { entries, demandPerS, load }: PermitFleetOptions,
  rng: Rng,
): Entry[] => {
  const busy = Math.max(1, Math.round(entries / 10));
  return Array.from({ length: entries }, (_, at) => {
    const share = { fraction: UNLED_PART / entries, isAllocator: false };
    const part =
      load === "even"
        ? 1 / entries
        : at < busy
          ? 0.9 / busy
          : 0.1 / (entries - busy);
    const perMs = (demandPerS * part) / MS_PER_SECOND;
    return { rates: spender(rng, share), perMs, heldBackUntil: 0 };
  });
};

const word = (perS: number | undefined, now: number) => ({
  perS,
  mayEnd: true,
  sentAt: now,
});

const current = (
  named: readonly AnnouncedLimit[],
  now: number,
): number | undefined => named.filter(({ at }) => at <= now).at(-1)?.perS;

const tellAll = (
  all: readonly RateLimits[],
  perS: number | undefined,
  now: number,
): void => {
  for (const rates of all) rates.recordAnswer(REPLICA, word(perS, now), now);
};

const permit = (rates: RateLimits, now: number): PermitAnswer =>
  rates.acquire(REPLICA, now)
    ? { kind: "acquired" }
    : { kind: "held-back", waitMs: rates.waitMs(REPLICA, now) };
