/**
 * Which requests were at replicas that ended, as one process has seen it.
 * Pure. Most were there by chance: a run that ends and leaves its replica
 * alive clears its request.
 */
import type { EndRecord } from "./types.js";

/**
 * Requests that are remembered at the most: what runs on five replicas of
 * 96 slots. Kept small, since each process's record is read by all.
 */
export const MAX_SUSPECTS = 512;
/**
 * How long a request is remembered after the last end under it, ms. A caller
 * comes back within minutes; a bar, once set, has no end. Records of crashes
 * long ago would make each list of a large fleet's records longer.
 */
export const SUSPECT_RETENTION_MS = 600_000;
/** Lives that are named of one request; more decide nothing. */
const MAX_LIVES = 6;

interface Suspect {
  lives: Set<string>;
  /** Of the last end, ms. */
  at: number;
}

export class SuspectTable {
  /** In order of the last end, the oldest first. */
  private readonly suspects = new Map<string, Suspect>();

  constructor(private readonly now: () => number) {}

  get size(): number {
    return this.suspects.size;
  }

  /** A replica's life ended while these requests were there. */
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

  /** Whether anything was known of it. */
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

  /** What this process wrote in an earlier life. */
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
   * Of those with the least evidence the oldest goes: requests that are new
   * each time push out none that came again.
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
