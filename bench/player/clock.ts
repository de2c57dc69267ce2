/** Virtual time: actions in the order of their instants, ms. */
import { Heap } from "heap-js";

interface ScheduledAction {
  at: number;
  /** Keeps the order of what is planned for one instant. */
  sequence: number;
  act: () => void;
}

const isBefore = (left: ScheduledAction, right: ScheduledAction): number =>
  left.at - right.at || left.sequence - right.sequence;

export class VirtualClock {
  private readonly scheduled = new Heap<ScheduledAction>(isBefore);
  private sequence = 0;
  now = 0;

  after(delayMs: number, act: () => void): void {
    this.sequence += 1;
    const at = this.now + Math.max(0, delayMs);
    this.scheduled.push({ at, sequence: this.sequence, act });
  }

  /** Runs until nothing is left, or until `untilMs`. */
  run(untilMs: number): void {
    for (;;) {
      const next = this.scheduled.pop();
      if (next === undefined || next.at > untilMs) return;
      this.now = next.at;
      next.act();
    }
  }
}
