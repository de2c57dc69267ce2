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
import type { HolderConnection } from "./holderConnection.js";

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
  connections: ReadonlyMap<string, HolderConnection>;
  /** Entries that place through this process, itself included. */
  connectedEntries(service: string): number;
  now: () => number;
}

export class RatePermits {
  constructor(private readonly options: RatePermitsOptions) {}

  /** How much of what a replica of a service takes this process may use. */
  share(service: string): PermitShare {
    const connection = this.connectionFor(service);
    const entries = connection?.entryCount ?? UNCOUNTED_ENTRIES;
    const isAllocator = connection?.keeper.isHolder ?? false;
    if (connection === undefined || !isAllocator) {
      return { fraction: UNLED_PART / entries, isAllocator };
    }
    if (connection.keeper.isFresh) return { fraction: 1, isAllocator };
    // Others may have found another holder: only those that are left count.
    const here = this.options.connectedEntries(connection.service);
    return { fraction: Math.min(1, here / entries), isAllocator };
  }

  /** Whether one request may go to a replica on which nobody places. */
  async acquire(service: string, replica: string): Promise<PermitAnswer> {
    const { client } = this.connectionFor(service) ?? {};
    return (
      (await client?.requestPermit(replica)) ?? this.acquireLocally(replica)
    );
  }

  /** The same by what this process may use. */
  acquireLocally(replica: string): PermitAnswer {
    const { rates, now } = this.options;
    if (rates.acquire(replica, now())) return { kind: "acquired" };
    return { kind: "held-back", waitMs: rates.waitMs(replica, now()) };
  }

  /** Tells whoever spends the rate of a service's replicas. */
  reportRate(service: string, news: RateNews): void {
    this.connectionFor(service)?.client?.sendRates([news]);
  }

  /** Other processes have heard this. */
  applyUpdates(news: readonly RateNews[]): void {
    const { rates, now } = this.options;
    for (const item of news) rates.applyUpdate(item, now());
  }

  private connectionFor(service: string): HolderConnection | undefined {
    const { connections } = this.options;
    const [first = ""] = [...connections.keys()].sort();
    return connections.get(service) ?? connections.get(first);
  }
}
