/**
 * What replicas say of themselves in their answers: that they leave, or that
 * they want nothing from this process for some time. Pure; by life, so that
 * the next one under a name or at an address starts without a word. Such a
 * word outlasts the replica's entry in the list, which may lapse and come
 * back while the store is away. Times are ms of one clock.
 */
import { LRUCache } from "lru-cache";

import type { ReplicaWord } from "./types.js";

/** Lives whose words are remembered, the newest first; 3,400 are expected. */
const MAX_LIVES = 8192;
/**
 * No word counts for longer, ms. A replica that leaves ends within seconds: one
 * that answers after an hour without saying so did not. A rest of more was
 * meant in another unit; all that is asked below it is kept to.
 */
export const LONGEST_WORD_MS = 3_600_000;
/**
 * An answer that belongs to another request says that its replica leaves: that
 * counts for so long, ms. Believed for an hour, one garbled answer would take a
 * replica from service; not believed at all, the next send to one that leaves
 * would come too late. A rest ends by itself and is always believed.
 */
export const UNPROVEN_MS = 2000;
/** The first send after a rest has this long to be answered, ms. */
const TRIAL_MS = 1000;

/** Why a replica gets nothing at the moment. */
export type Unwilling =
  | { kind: "leaving" }
  /** `untilMs`: instant at which the rest ends. */
  | { kind: "resting"; untilMs: number };

/** A life that gets nothing at the moment. */
export interface UnwillingLife {
  life: string;
  why: Unwilling;
}

/** What an answer has changed; undefined: nothing. */
export type WordChange = Unwilling["kind"] | undefined;

interface Known {
  /** First word that it leaves; undefined: none. */
  leavingSince: number | undefined;
  /** Until when the word that it leaves counts. */
  leavingUntil: number;
  restUntil: number;
  /** Since the rest has ended no answer has come that asks for no further. */
  needsTrial: boolean;
  /** The first send after the rest is out until then. */
  trialUntil: number;
}

const NOTHING: Known = {
  leavingSince: undefined,
  leavingUntil: -Infinity,
  restUntil: -Infinity,
  needsTrial: false,
  trialUntil: -Infinity,
};

export class Willingness {
  private readonly known = new LRUCache<string, Known>({ max: MAX_LIVES });
  /** Lives that leave, rest or are tried after it: few at any time. */
  private readonly unwilling = new Set<string>();

  /**
   * `lastResortMs`: how long after its first word a replica that leaves is
   * used where its service has no other.
   */
  constructor(private readonly lastResortMs = 0) {}

  /** `isProven`: the answer belongs to the request that was sent. */
  hear(
    life: string,
    word: ReplicaWord,
    isProven: boolean,
    now: number,
  ): WordChange {
    const before = this.known.get(life);
    const { isLeaving, restMs = 0 } = word;
    if (!isLeaving && restMs <= 0) {
      if (before !== undefined) endTrial(before, now);
      return undefined;
    }
    const known = { ...(before ?? NOTHING) };
    const wasLeaving = known.leavingUntil > now;
    const wasResting = known.restUntil > now;
    if (isLeaving) noteLeaving(known, isProven, now);
    if (restMs > 0) noteRest(known, restMs, now);
    this.known.set(life, known);
    this.unwilling.add(life);
    if (isLeaving && !wasLeaving) return "leaving";
    return restMs > 0 && !wasResting ? "resting" : undefined;
  }

  /** Another process heard it say that it leaves. */
  leave(life: string, now: number): WordChange {
    return this.hear(life, { isLeaving: true, restMs: undefined }, true, now);
  }

  /** Why nothing is to be sent to it; undefined: it may be. */
  refusal(life: string, now: number): Unwilling | undefined {
    const known = this.known.peek(life);
    if (known === undefined) return undefined;
    if (known.leavingUntil > now) return { kind: "leaving" };
    const untilMs = busyUntil(known, now);
    return untilMs > now ? { kind: "resting", untilMs } : undefined;
  }

  /** The same for a send that leaves now, which is the first after a rest. */
  take(life: string, now: number): Unwilling | undefined {
    const refusal = this.refusal(life, now);
    const known = this.known.peek(life);
    if (refusal === undefined && known?.needsTrial === true) {
      known.trialUntil = now + TRIAL_MS;
    }
    return refusal;
  }

  /** Whether it was heard to leave so lately that it may do as the last one. */
  isLastResort(life: string, now: number): boolean {
    const since = this.known.peek(life)?.leavingSince;
    return since !== undefined && now - since < this.lastResortMs;
  }

  /** Until when its word that it leaves means the same, ms. */
  leavingUntil(life: string, now: number): number {
    const { leavingSince: since, leavingUntil } =
      this.known.peek(life) ?? NOTHING;
    if (since === undefined) return Infinity;
    const ends = [since + this.lastResortMs, leavingUntil];
    return Math.min(...ends.filter((end) => end > now));
  }

  /** Lives that are to get nothing now, and why. */
  all(now: number): UnwillingLife[] {
    const found: UnwillingLife[] = [];
    for (const life of this.unwilling) {
      const why = this.refusal(life, now);
      if (why !== undefined) found.push({ life, why });
      else if (!this.mayFollow(life)) this.unwilling.delete(life);
    }
    return found;
  }

  /** Whether it is still to be tried after its rest. */
  private mayFollow(life: string): boolean {
    return this.known.peek(life)?.needsTrial ?? false;
  }
}

const noteLeaving = (known: Known, isProven: boolean, now: number): void => {
  const longest = isProven ? LONGEST_WORD_MS : UNPROVEN_MS;
  known.leavingSince ??= now;
  known.leavingUntil = Math.max(known.leavingUntil, now + longest);
};

/** An answer within the rest that asks for another prolongs it. */
const noteRest = (known: Known, restMs: number, now: number): void => {
  const until = now + Math.min(restMs, LONGEST_WORD_MS);
  known.restUntil = Math.max(known.restUntil, until);
  known.needsTrial = true;
  known.trialUntil = -Infinity;
};

/** What was under way when the rest was asked for does not end it. */
const endTrial = (known: Known, now: number): void => {
  if (!known.needsTrial || known.restUntil > now) return;
  known.needsTrial = false;
  known.trialUntil = -Infinity;
};

/** All entries may be sent away at once: after a rest one send goes first. */
const busyUntil = ({ restUntil, trialUntil }: Known, now: number): number =>
  restUntil > now ? restUntil : trialUntil;
