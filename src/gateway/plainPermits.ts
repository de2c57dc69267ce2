/** Permits for plain requests to replicas that take a limited rate. */
import { LRUCache } from "lru-cache";

import type { PermitAnswer, RateLimits } from "../rateLimits/index.js";
import type { Rng } from "../shared/rng.js";

/** Replicas that are remembered as taking no more, the newest first. */
const MAX_HELD_BACK = 4096;
/** Bounds of the time until a limited replica is asked for again, ms. */
const LEAST_HELD_MS = 20;
const MOST_HELD_MS = 1000;
/** Less than a permit of one's own can be used for, ms. */
const MOST_SPREAD_MS = 250;

/** Who says whether one request may go to a limited replica. */
export interface PermitSource {
  acquire(service: string, replica: string): Promise<PermitAnswer>;
}

/** `permitAt`: when there was a permit; undefined: none is needed. */
export type PlainPermit =
  { kind: "may-go"; permitAt: number | undefined } | { kind: "held-back" };

export interface PlainPermitsOptions {
  rates: RateLimits;
  permits: PermitSource;
  rng: Rng;
  now: () => number;
}

export class PlainPermits {
  /** Until when limited replicas take no more, ms. */
  private readonly heldBack = new LRUCache<string, number>({
    max: MAX_HELD_BACK,
  });

  constructor(private readonly options: PlainPermitsOptions) {}

  /** Whether one request may go to that replica; asks where it is limited. */
  async ask(service: string, replica: string): Promise<PlainPermit> {
    const { rates, permits, rng, now } = this.options;
    if (!rates.isLimited(replica, now())) {
      return { kind: "may-go", permitAt: undefined };
    }
    const askedAt = now();
    const answer = await permits.acquire(service, replica);
    if (answer.kind === "acquired") {
      // Not the time of the answer, which this process may read late.
      return { kind: "may-go", permitAt: askedAt };
    }
    // Entries that were held back together do not ask again together.
    const spreadMs = rng() * Math.min(answer.waitMs, MOST_SPREAD_MS);
    const waitMs = Math.max(LEAST_HELD_MS, answer.waitMs + spreadMs);
    this.heldBack.set(replica, now() + Math.min(MOST_HELD_MS, waitMs));
    return { kind: "held-back" };
  }

  /** Until when a replica is known to take no more, ms; 0: it may take some. */
  heldUntil(replica: string): number {
    return this.heldBack.get(replica) ?? 0;
  }
}
