/**
 * Decides which process allocates the rate of a limited replica: the lease
 * holder of its service or, for a plain service (whose requests are not
 * placed), the holder of the first service that has one. All others request
 * permits from it.
 */
import type {
  PermitAnswer,
  PermitShare,
  RateLimits,
  RateNews,
} from "../rateLimits/index.js";
import type { HolderConnection } from "./holderConnection.js";

/**
 * Entries assumed to share a rate while none have been counted. Too high leaves
 * some of the rate unused for a moment; too low would exceed it.
 */
const ASSUMED_ENTRIES = 64;
/**
 * Fraction of a replica's rate shared by the processes that can't reach its
 * allocator. Others may still reach it and use the whole rate; the two together
 * must stay below one and a half times the rate.
 */
const UNCOORDINATED_FRACTION = 0.5;

export interface RatePermitsOptions {
  rates: RateLimits;
  /** Connections to lease holders, by service. */
  connections: ReadonlyMap<string, HolderConnection>;
  /** Entries that place through this process, including itself. */
  connectedEntries(service: string): number;
  now: () => number;
}

export class RatePermits {
  constructor(private readonly options: RatePermitsOptions) {}

  /**
   * The fraction of the rate of a service's replicas that this process may use.
   */
  share(service: string): PermitShare {
    const connection = this.connectionFor(service);
    const entries = connection?.entryCount ?? ASSUMED_ENTRIES;
    const isAllocator = connection?.keeper.isHolder ?? false;
    if (connection === undefined || !isAllocator) {
      return { fraction: UNCOORDINATED_FRACTION / entries, isAllocator };
    }
    if (connection.keeper.isFresh) return { fraction: 1, isAllocator };
    // Others may have found another holder: count only the entries still
    // connected here.
    const connectedHere = this.options.connectedEntries(connection.service);
    return { fraction: Math.min(1, connectedHere / entries), isAllocator };
  }

  /**
   * Acquires a permit to send one request to a replica of a plain service, from
   * the allocator or else locally.
   */
  async acquire(service: string, replica: string): Promise<PermitAnswer> {
    const { client } = this.connectionFor(service) ?? {};
    return (
      (await client?.requestPermit(replica)) ?? this.acquireLocally(replica)
    );
  }

  /** Acquires a permit from this process's own share. */
  acquireLocally(replica: string): PermitAnswer {
    const { rates, now } = this.options;
    if (rates.acquire(replica, now())) return { kind: "acquired" };
    return { kind: "held-back", waitMs: rates.waitMs(replica, now()) };
  }

  /** Reports a rate limit to the allocator of the service's replicas. */
  reportRate(service: string, news: RateNews): void {
    this.connectionFor(service)?.client?.sendRates([news]);
  }

  /** Applies rate limits received from other processes. */
  applyUpdates(news: readonly RateNews[]): void {
    const { rates, now } = this.options;
    for (const item of news) rates.applyUpdate(item, now());
  }

  /** Applies rate limits received from the allocator, and corrects old ones. */
  applyFromAllocator(service: string, news: readonly RateNews[]): void {
    this.applyUpdates(news);
    const { rates, now } = this.options;
    for (const item of news) {
      const newer = rates.newerThan(item, now());
      if (newer !== undefined) this.reportRate(service, newer);
    }
  }

  private connectionFor(service: string): HolderConnection | undefined {
    const { connections } = this.options;
    const [first = ""] = [...connections.keys()].sort();
    return connections.get(service) ?? connections.get(first);
  }
}
