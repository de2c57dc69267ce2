/**
 * Where in the store's history a change stands. A store that comes back from
 * a copy gives revisions out again for other changes; its era then rises. So
 * a position is both, and is compared by era first. The pair is kept in one
 * safe integer, so that positions are compared, stored and sent as numbers.
 */

/** Revisions of one era: a thousand a second for 34 years. */
const REVISIONS_PER_ERA = 2 ** 40;
const MAX_ERA = 2 ** 12;

export interface StorePosition {
  era: number;
  revision: number;
}

/** Throws nothing: what can't be held counts as the last that can. */
export const encodePosition = ({ era, revision }: StorePosition): number =>
  Math.min(era, MAX_ERA) * REVISIONS_PER_ERA +
  Math.min(revision, REVISIONS_PER_ERA - 1);

export const decodePosition = (position: number): StorePosition => ({
  era: Math.floor(position / REVISIONS_PER_ERA),
  revision: position % REVISIONS_PER_ERA,
});

/** What an answer's era says. */
export type EraUpdate =
  | { kind: "same" }
  | { kind: "first"; era: number }
  /** The store has come back from a copy since the era that was known. */
  | { kind: "risen"; from: number; to: number }
  /** The answer is of before the store came back: nothing in it holds. */
  | { kind: "past" }
  /** No era can be read; the last good one stays. */
  | { kind: "unreadable"; text: string };

const ERA_PATTERN = /^\d{1,4}$/;

/** The newest era that any answer of the store has named. */
export class StoreEra {
  private highest: number | undefined;

  /** 0 while none was named. */
  get current(): number {
    return this.highest ?? 0;
  }

  /** `text`: as the answer names it; undefined: it names none. */
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
