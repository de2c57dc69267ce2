/**
 * Requests and prompt parts that were running on replicas when these ended, as
 * seen by one process. Pure. Most were there by chance: a run that ends and
 * leaves its replica alive clears its request and its parts.
 */
import { isPartKey } from "./promptParts.js";
import type { EndRecord } from "./types.js";

/**
 * Maximum number of suspects remembered: what runs on five replicas of 96
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
 * The same for a part, ms. Other processes see it survive without telling, so
 * that old ends prove little.
 */
export const PART_RETENTION_MS = 60_000;
/**
 * Maximum replica incarnations recorded per suspect: the first ones and the
 * latest; more do not affect the decision.
 */
const MAX_INCARNATIONS = 6;
/** Separates an incarnation from the request of a part's evidence. */
const SEPARATOR = " ";

/**
 * Replica incarnations that ended under a suspect; for a part, each with the
 * request that had it and a time, else with an empty text.
 */
export type Evidence = ReadonlyMap<string, string>;

interface Suspect {
  ends: Map<string, string>;
  /** Time of the last end, ms. */
  at: number;
}

const NO_EVIDENCE: Evidence = new Map();

export const encodeEvidence = (ends: Evidence): string[] =>
  [...ends].map(([incarnation, request]) =>
    request === "" ? incarnation : `${incarnation}${SEPARATOR}${request}`,
  );

export const decodeEvidence = (texts: readonly string[]): Evidence =>
  new Map(
    texts.map((text) => {
      const [incarnation = "", request = ""] = text.split(SEPARATOR);
      return [incarnation, request];
    }),
  );

export class SuspectTable {
  /** Ordered by the last end, oldest first. */
  private readonly suspects = new Map<string, Suspect>();

  constructor(private readonly now: () => number) {}

  get size(): number {
    return this.suspects.size;
  }

  /** Records that a replica incarnation ended under these suspects. */
  add(keys: readonly string[], incarnation: string, request = ""): void {
    const at = this.now();
    this.dropOld(at);
    for (const key of keys) {
      const ends = this.suspects.get(key)?.ends ?? new Map<string, string>();
      if (!ends.has(incarnation)) {
        const latest = [...ends.keys()][MAX_INCARNATIONS - 1];
        if (latest !== undefined) ends.delete(latest);
        ends.set(incarnation, request);
      }
      this.suspects.delete(key);
      this.suspects.set(key, { ends, at });
    }
    while (this.suspects.size > MAX_SUSPECTS) this.dropWeakest();
  }

  /** Forgets a suspect; returns the evidence against it. */
  clear(key: string): Evidence {
    const ends = this.evidence(key);
    this.suspects.delete(key);
    return ends;
  }

  evidence(key: string): Evidence {
    return this.suspects.get(key)?.ends ?? NO_EVIDENCE;
  }

  keys(): Iterable<string> {
    return this.suspects.keys();
  }

  toRecord(): EndRecord {
    const rows = [...this.suspects].map(([key, { ends }]) => [
      key,
      encodeEvidence(ends),
    ]);
    return Object.fromEntries(rows) as EndRecord;
  }

  /** Restores what this process wrote before its restart. */
  restore(record: EndRecord): void {
    for (const [key, texts] of Object.entries(record)) {
      for (const [incarnation, request] of decodeEvidence(texts))
        this.add([key], incarnation, request);
    }
  }

  private dropOld(now: number): void {
    for (const [key, { at }] of this.suspects) {
      const ageMs = now - at;
      if (ageMs < PART_RETENTION_MS) return;
      const retentionMs = isPartKey(key)
        ? PART_RETENTION_MS
        : SUSPECT_RETENTION_MS;
      if (ageMs >= retentionMs) this.suspects.delete(key);
    }
  }

  /**
   * Drops the oldest of those with the fewest ends, so that suspects seen once
   * never push out one that was seen again.
   */
  private dropWeakest(): void {
    let weakest: { key: string; count: number } | undefined;
    for (const [key, { ends }] of this.suspects) {
      const count = ends.size;
      if (weakest === undefined || count < weakest.count) {
        weakest = { key, count };
      }
    }
    if (weakest !== undefined) this.suspects.delete(weakest.key);
  }
}
