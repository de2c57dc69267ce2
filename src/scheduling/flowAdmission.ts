/**
 * Applies the shares of flows to requests that their entry did not thin: who
 * may wait under contention, and who makes room in the queue. Pure.
 */
import { FairShares } from "./fairShares.js";
import type { PlacementRequest } from "./types.js";
import type { QueuedRequest, WaitQueue } from "./waitQueue.js";

/**
 * Number of requests by which returning callers may exceed the share of their
 * flow, as in the entries: a second refusal is worth more to avoid than a
 * first one.
 */
const RETURN_OVERDRAW = 4;
/**
 * Usage of its share from which a flow's queued requests may be displaced.
 * Shares exceed what the engines can do by a tenth, so that capacity is probed,
 * and usage varies by a fifth for flows of 25 requests a second.
 */
const FULL_USAGE = 0.7;
/** A flow displaces requests only of flows with this many times its usage. */
const USAGE_RATIO = 2;
/**
 * Most queued requests that one request may displace. More are displaced only
 * if the queue is far too long for the requests in it.
 */
const MAX_DISPLACED = 8;

export class FlowAdmission {
  readonly shares: FairShares;

  /** `minCapacity`: see `FairShares`. */
  constructor(minCapacity?: (now: number) => number) {
    this.shares = new FairShares(minCapacity);
  }

  /**
   * Whether the request may not wait, since its flow has had its share. A flow
   * that has its route to itself is left to the queue, which orders routes by
   * urgency; refusals would only make its requests return late.
   */
  isOverShare(request: PlacementRequest, now: number): boolean {
    const overdraw = request.isReturn ? RETURN_OVERDRAW : 0;
    return this.sharedUsage(request, now, overdraw) >= 1;
  }

  /** Usage of its share by a flow; 0 if it has its route to itself. */
  private sharedUsage(
    request: PlacementRequest,
    now: number,
    overdraw = 0,
  ): number {
    const { shares } = this;
    if (!shares.hasPeers(request, now)) return 0;
    return shares.usage(request, overdraw, now);
  }

  /**
   * Removes queued requests of flows over their share until `canQueue` holds,
   * and returns them; leaves the queue as it is if it cannot hold. The newest
   * request of the flow furthest over its share goes first.
   */
  makeRoom(
    queue: WaitQueue,
    request: PlacementRequest,
    canQueue: () => boolean,
    now: number,
  ): QueuedRequest[] {
    if (!this.shares.isContended(now)) return [];
    const ownUsage = this.shares.usage(request, 0, now);
    const minUsage = Math.max(FULL_USAGE, ownUsage * USAGE_RATIO);
    const displaced: QueuedRequest[] = [];
    while (displaced.length < MAX_DISPLACED) {
      const victim = this.findVictim(queue, minUsage, now);
      if (victim === undefined) break;
      queue.remove(victim.request.id);
      displaced.push(victim);
      if (canQueue()) return displaced;
    }
    for (const item of displaced) queue.add(item, now);
    return [];
  }

  private findVictim(
    queue: WaitQueue,
    minUsage: number,
    now: number,
  ): QueuedRequest | undefined {
    let victim: QueuedRequest | undefined;
    let victimUsage = minUsage;
    const usages = new Map<string, number>();
    for (const item of queue.items()) {
      const { route, workspace, priority } = item.request;
      const id = `${priority}\n${route}\n${workspace}`;
      const usage = usages.get(id) ?? this.sharedUsage(item.request, now);
      usages.set(id, usage);
      const isNewer = victim === undefined || item.queuedAt >= victim.queuedAt;
      if (usage > victimUsage || (usage === victimUsage && isNewer)) {
        victim = item;
        victimUsage = usage;
      }
    }
    return victim;
  }
}
