/**
 * Tracks for how long this process has followed the replica list without a gap,
 * and how old the state is that it knows. Ages are by the lease clock, which
 * advances while the machine is suspended.
 */
import type { FeedAnswer } from "../store/index.js";
import { MAX_WATCH_LAG_MS, provenAt } from "../workspaces/index.js";

export class ListFreshness {
  private since = Infinity;
  private asOf = -Infinity;

  /** `now`: the lease clock. */
  constructor(private readonly now: () => number) {}

  /** A list that is read again leaves out what came and went before it. */
  onAnswer(answer: FeedAnswer): void {
    const at = provenAt(answer);
    if (answer.isList) this.since = at;
    this.asOf = Math.max(this.asOf, answer.isList ? at : at - MAX_WATCH_LAG_MS);
  }

  /** The list is no longer followed. */
  onStale(): void {
    this.since = Infinity;
  }

  /** How long all changes have been received, ms; 0 if they are not. */
  get watchedMs(): number {
    return Math.max(0, this.now() - this.since);
  }

  /** Age of the known state, ms; Infinity if there is none. */
  get ageMs(): number {
    return this.now() - this.asOf;
  }
}
