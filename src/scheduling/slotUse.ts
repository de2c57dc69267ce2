/**
 * When the runs of one engine hold its slots. A run takes its slot when its
 * prefill ends, not when it is granted. Pure; times are ms.
 */

/** Expected times of one run. */
export interface RunTimes {
  /** Expected end of its prefill; undefined if it takes its slot at once. */
  startsAt: number | undefined;
  /** Expected duration from then; Infinity: it counts until its end is reported. */
  runMs: number;
  /**
   * Whether the slot counts as free at the expected end, since the report of
   * the end may be late.
   */
  isAssumed?: boolean;
}

interface SlotHolder {
  startsAt: number;
  endsAt: number;
  runMs: number;
  hasStarted: boolean;
  isAssumed: boolean;
}

export class SlotUse {
  private readonly holders = new Map<string, SlotHolder>();

  add(id: string, times: RunTimes, now: number): void {
    const { startsAt, runMs, isAssumed = false } = times;
    const from = Math.max(now, startsAt ?? now);
    const hasStarted = startsAt === undefined;
    const endsAt = from + runMs;
    const holder = { startsAt: from, endsAt, runMs, hasStarted, isAssumed };
    this.holders.set(id, holder);
  }

  /** Records that the run's prefill has ended. */
  start(id: string, now: number): void {
    const holder = this.holders.get(id);
    if (holder === undefined || holder.hasStarted) return;
    holder.hasStarted = true;
    holder.startsAt = now;
    holder.endsAt = now + holder.runMs;
  }

  end(id: string): void {
    this.holders.delete(id);
  }

  /** Number of runs that hold a slot now, by report or by expectation. */
  current(now: number): number {
    let count = 0;
    for (const { startsAt, endsAt, hasStarted } of this.holders.values()) {
      if (hasStarted || (startsAt <= now && now < endsAt)) count += 1;
    }
    return count;
  }

  /**
   * Largest number of slots held at once while a run from `from` to `until`
   * would be there. Overdue runs count until they are reported.
   */
  peak(from: number, until: number, now: number): number {
    const starts: number[] = [];
    const ends: number[] = [];
    for (const holder of this.holders.values()) {
      const endsAt = endOf(holder, now);
      if (holder.startsAt >= until || endsAt <= from) continue;
      starts.push(Math.max(from, holder.startsAt));
      ends.push(endsAt);
    }
    // The largest number is reached when one of the runs starts.
    let most = 0;
    for (const at of starts) {
      let count = 0;
      for (let other = 0; other < starts.length; other += 1) {
        if (starts[other]! <= at && ends[other]! > at) count += 1;
      }
      if (count > most) most = count;
    }
    return most;
  }
}

const endOf = (holder: SlotHolder, now: number) => {
  const { endsAt, hasStarted, startsAt, isAssumed } = holder;
  if (isAssumed) return endsAt;
  const isOverdue = endsAt <= now || (!hasStarted && startsAt <= now);
  return isOverdue ? Infinity : endsAt;
};
