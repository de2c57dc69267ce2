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
 * Maximum replica lives recorded per request; more do not affect the decision.
 */
const MAX_LIVES = 6;

interface Suspect {
  lives: Set<string>;
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

  /** Records that a replica's life ended while these requests were on it. */
  add(digests: readonly string[], life: string): void {
    const at = this.now();
    this.dropOld(at);
    for (const digest of digests) {
      const lives = this.suspects.get(digest)?.lives ?? new Set();
      if (lives.size < MAX_LIVES) lives.add(life);
      this.suspects.delete(digest);
      this.suspects.set(digest, { lives, at });
    }
    while (this.suspects.size > MAX_SUSPECTS) this.dropWeakest();
  }

  /** Forgets a request; returns whether it was known. */
  clear(digest: string): boolean {
    return this.suspects.delete(digest);
  }

  lives(digest: string): ReadonlySet<string> {
    return this.suspects.get(digest)?.lives ?? new Set();
  }

  digests(): Iterable<string> {
    return this.suspects.keys();
  }

  toRecord(): EndRecord {
    const rows = [...this.suspects].map(([digest, { lives }]) => [
      digest,
      [...lives],
    ]);
    return Object.fromEntries(rows) as EndRecord;
  }

  /** Restores what this process wrote in an earlier run. */
  restore(record: EndRecord): void {
    for (const [digest, lives] of Object.entries(record)) {
      for (const life of lives) this.add([digest], life);
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
    for (const [digest, { lives }] of this.suspects) {
      const count = lives.size;
      if (weakest === undefined || count < weakest.count) {
        weakest = { digest, count };
      }
    }
    if (weakest !== undefined) this.suspects.delete(weakest.digest);
  }
}
