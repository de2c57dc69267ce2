/**
 * Requests that were running on replicas when these ended, as seen by one
 * process. Pure. Most were there by chance: a run that ends and leaves its
 * replica alive clears its request.
 */
import type { EndRecord } from "./types.js";

/**
 * Maximum number of requests remembered: what runs on five replicas of 96
 * slots. Kept small, since every process reads each process's record.
 */
export const MAX_SUSPECTS = 512;
/**
 * How long a request is remembered after the last replica end, ms. Callers
 * retry within minutes; a quarantine, once set, does not expire. Records of old
 * crashes would lengthen each list of a large fleet's records.
 */
export const SUSPECT_RETENTION_MS = 600_000;
/**
 * Maximum replica incarnations recorded per request; more do not affect the
 * decision.
 */
const MAX_INCARNATIONS = 6;

interface Suspect {
  incarnations: Set<string>;
  /** Time of the last end, ms. */
  at: number;
}

export class SuspectTable {
  /** Ordered by the last end, oldest first. */
  private readonly suspects = new Map<string, Suspect>();

  constructor(private readonly now: () => number) {}

  get size(): number {
    return this.suspects.size;
  }

  /** Records that a replica incarnation ended while these requests were on it. */
  add(digests: readonly string[], incarnation: string): void {
    const at = this.now();
    this.dropOld(at);
    for (const digest of digests) {
      const incarnations = this.suspects.get(digest)?.incarnations ?? new Set();
      if (incarnations.size < MAX_INCARNATIONS) incarnations.add(incarnation);
      this.suspects.delete(digest);
      this.suspects.set(digest, { incarnations, at });
    }
    while (this.suspects.size > MAX_SUSPECTS) this.dropWeakest();
  }

  /** Forgets a request; returns whether it was known. */
  clear(digest: string): boolean {
    return this.suspects.delete(digest);
  }

  incarnations(digest: string): ReadonlySet<string> {
    return this.suspects.get(digest)?.incarnations ?? new Set();
  }

  digests(): Iterable<string> {
    return this.suspects.keys();
  }

  toRecord(): EndRecord {
    const rows = [...this.suspects].map(([digest, { incarnations }]) => [
      digest,
      [...incarnations],
    ]);
    return Object.fromEntries(rows) as EndRecord;
  }

  /** Restores what this process wrote before its restart. */
  restore(record: EndRecord): void {
    for (const [digest, incarnations] of Object.entries(record)) {
      for (const incarnation of incarnations) this.add([digest], incarnation);
    }
  }

  private dropOld(now: number): void {
    for (const [digest, { at }] of this.suspects) {
      if (now - at < SUSPECT_RETENTION_MS) return;
      this.suspects.delete(digest);
    }
  }

  /**
   * Drops the oldest of the requests with the fewest ends, so that requests
   * seen once never push out one that was seen again.
   */
  private dropWeakest(): void {
    let weakest: { digest: string; count: number } | undefined;
    for (const [digest, { incarnations }] of this.suspects) {
      const count = incarnations.size;
      if (weakest === undefined || count < weakest.count) {
        weakest = { digest, count };
      }
    }
    if (weakest !== undefined) this.suspects.delete(weakest.digest);
  }
}
