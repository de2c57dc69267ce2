/**
 * Position of a change in the store's history. A store restored from a copy
 * reuses revisions for other changes, and its era increases. A position is
 * therefore the pair of era and revision, ordered by era first. The pair is
 * encoded as one safe integer, so that positions are compared, stored and
 * sent as numbers.
 */

/** Enough for a thousand revisions a second for 34 years. */
const REVISIONS_PER_ERA = 2 ** 40;
const MAX_ERA = 2 ** 12;

export interface StorePosition {
  era: number;
  revision: number;
}

/** Clamps an era or revision out of range to the maximum; never throws. */
export const encodePosition = ({ era, revision }: StorePosition): number =>
  Math.min(era, MAX_ERA) * REVISIONS_PER_ERA +
  Math.min(revision, REVISIONS_PER_ERA - 1);

/** Inverse of `encodePosition`. */
export const decodePosition = (position: number): StorePosition => ({
  era: Math.floor(position / REVISIONS_PER_ERA),
  revision: position % REVISIONS_PER_ERA,
});

/** Result of comparing the era of an answer with the highest one seen. */
export type EraUpdate =
  | { kind: "same" }
  | { kind: "first"; era: number }
  /** The store was restored from a copy since the highest era seen. */
  | { kind: "risen"; from: number; to: number }
  /** The answer predates the restore: its content must be discarded. */
  | { kind: "past" }
  /** The era is malformed; the last valid one is kept. */
  | { kind: "unreadable"; text: string };

const ERA_PATTERN = /^\d{1,4}$/;

/** Tracks the highest era seen in the store's answers. */
export class StoreEra {
  private highest: number | undefined;

  /** Highest era seen; 0 before the first. */
  get current(): number {
    return this.highest ?? 0;
  }

  /** Records the era `text` of an answer; undefined if it carries none. */
  observe(text: string | undefined): EraUpdate {
    if (text === undefined) return { kind: "same" };
    if (!ERA_PATTERN.test(text)) return { kind: "unreadable", text };
    const era = Number(text);
    const from = this.highest;
    if (era === from) return { kind: "same" };
    if (from !== undefined && era < from) return { kind: "past" };
    this.highest = era;
    if (from === undefined) return { kind: "first", era };
    return { kind: "risen", from, to: era };
  }
}
