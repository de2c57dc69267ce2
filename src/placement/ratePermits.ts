/**
 * Who spends the rate that a limited replica takes: the holder of its
 * service; for a plain service, which nobody places, the holder of the first
 * service that has one. All others ask it.
 */
import type {
  PermitAnswer,
  PermitShare,
  RateLimits,
  RateNews,
} from "../rateLimits/index.js";
import type { HolderLink } from "./holderLink.js";

/**
 * Entries assumed to share a rate while none was counted: too many leave some
 * of it unused for a moment, too few would break it.
 */
const UNCOUNTED_ENTRIES = 64;
/**
 * Part of the rate of a limited replica that is used by processes which can't
 * reach the one that spends it. Others may still reach it and use the whole;
 * the two together must stay below one and a half times the rate.
 */
const UNLED_PART = 0.5;

export interface RatePermitsOptions {
  rates: RateLimits;
  /** By service. */
  links: ReadonlyMap<string, HolderLink>;
  /** Entries that place through this process, itself included. */
  entriesHere(service: string): number;
  now: () => number;
}

export class RatePermits {
  constructor(private readonly options: RatePermitsOptions) {}

  /** How much of what a replica of a service takes this process may use. */
  share(service: string): PermitShare {
    const link = this.linkFor(service);
    const entries = link?.entries ?? UNCOUNTED_ENTRIES;
    const isSole = link?.keeper.isHolder ?? false;
    if (link === undefined || !isSole) {
      return { part: UNLED_PART / entries, isSole };
    }
    if (link.keeper.isFresh) return { part: 1, isSole };
    // Others may have found another holder: only those that are left count.
    const here = this.options.entriesHere(link.service);
    return { part: Math.min(1, here / entries), isSole };
  }

  /** Whether one request may go to a replica on which nobody places. */
  async permit(service: string, replica: string): Promise<PermitAnswer> {
    const { client } = this.linkFor(service) ?? {};
    return (await client?.askPermit(replica)) ?? this.permitHere(replica);
  }

  /** The same by what this process may use. */
  permitHere(replica: string): PermitAnswer {
    const { rates, now } = this.options;
    if (rates.acquire(replica, now())) return { kind: "acquired" };
    return { kind: "held-back", waitMs: rates.waitMs(replica, now()) };
  }

  /** Tells whoever spends the rate of a service's replicas. */
  tell(service: string, news: RateNews): void {
    this.linkFor(service)?.client?.tellRates([news]);
  }

  /** Other processes have heard this. */
  learn(news: readonly RateNews[]): void {
    const { rates, now } = this.options;
    for (const item of news) rates.learn(item, now());
  }

  private linkFor(service: string): HolderLink | undefined {
    const { links } = this.options;
    const [first = ""] = [...links.keys()].sort();
    return links.get(service) ?? links.get(first);
  }
}
