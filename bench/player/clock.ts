/** Virtual clock, ms: runs scheduled actions in order of time. */
import { Heap } from "heap-js";

interface ScheduledAction {
  at: number;
  /** Breaks ties: actions for the same time run in scheduling order. */
  sequence: number;
  act: () => void;
}

const compareActions = (
  left: ScheduledAction,
  right: ScheduledAction,
): number => left.at - right.at || left.sequence - right.sequence;

export class VirtualClock {
  private readonly scheduled = new Heap<ScheduledAction>(compareActions);
  private sequence = 0;
  now = 0;

  after(delayMs: number, act: () => void): void {
    this.sequence += 1;
    const at = this.now + Math.max(0, delayMs);
    this.scheduled.push({ at, sequence: this.sequence, act });
  }

  /** Runs actions until none is left or the next is due after `untilMs`. */
  run(untilMs: number): void {
    for (;;) {
      const next = this.scheduled.pop();
      if (next === undefined || next.at > untilMs) return;
      this.now = next.at;
      next.act();
    }
  }
}
