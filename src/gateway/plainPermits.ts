/** Acquires permits for plain requests to rate-limited replicas. */
import { LRUCache } from "lru-cache";

import type { PermitAnswer, RateLimits } from "../rateLimits/index.js";
import type { Rng } from "../shared/rng.js";

/** Rate-limited replicas that are remembered; the least recent are evicted. */
const MAX_HELD_BACK = 4096;
/** Bounds of the time for which a replica at its limit is held back, ms. */
const MIN_HELD_MS = 20;
const MAX_HELD_MS = 1000;
/** Maximum jitter, ms; shorter than the lifetime of a permit. */
const MAX_JITTER_MS = 250;

/** Grants permits for single requests to rate-limited replicas. */
export interface PermitSource {
  acquire(service: string, replica: string): Promise<PermitAnswer>;
}

/** `permitAt`: instant the permit dates from; undefined: none is needed. */
export type PlainPermit =
  { kind: "may-go"; permitAt: number | undefined } | { kind: "held-back" };

export interface PlainPermitsOptions {
  rates: RateLimits;
  permits: PermitSource;
  rng: Rng;
  now: () => number;
}

export class PlainPermits {
  /** Instant until which each replica is held back, ms, by replica id. */
  private readonly heldBackUntil = new LRUCache<string, number>({
    max: MAX_HELD_BACK,
  });

  constructor(private readonly options: PlainPermitsOptions) {}

  /** Gets a permit for one request if the replica is rate-limited. */
  async acquire(service: string, replica: string): Promise<PlainPermit> {
    const { rates, permits, rng, now } = this.options;
    if (!rates.isLimited(replica, now())) {
      return { kind: "may-go", permitAt: undefined };
    }
    const askedAt = now();
    const answer = await permits.acquire(service, replica);
    if (answer.kind === "acquired") {
      // The time of the request: this process may read the answer late.
      return { kind: "may-go", permitAt: askedAt };
    }
    // Jitter keeps entries held back together from retrying together.
    const jitterMs = rng() * Math.min(answer.waitMs, MAX_JITTER_MS);
    const waitMs = Math.max(MIN_HELD_MS, answer.waitMs + jitterMs);
    this.heldBackUntil.set(replica, now() + Math.min(MAX_HELD_MS, waitMs));
    return { kind: "held-back" };
  }

  /** Instant until which a replica is held back, ms; 0 if it is not. */
  heldUntil(replica: string): number {
    return this.heldBackUntil.get(replica) ?? 0;
  }
}
