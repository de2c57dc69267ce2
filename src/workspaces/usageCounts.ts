/**
 * Requests that began to run, by window and workspace, as one process has
 * seen them. Windows are numbered from the epoch of the time of day, so that
 * all processes mean the same one by a number.
 */

/** Requests by workspace. */
export type Counts = Record<string, number>;

/** What one process has counted in one window so far. */
export interface WindowCounts {
  seq: number;
  counts: Counts;
}

/** Windows that are kept: those that may still be asked for, and a spare. */
const SPARE_WINDOWS = 2;

export interface UsageWindows {
  windowMs: number;
  /** After its end a report of a window is due by then, ms. */
  dueMs: number;
}

export const windowAt = (wallMs: number, windowMs: number): number =>
  Math.floor(wallMs / windowMs);

/** Oldest window whose report can still be in time. */
export const oldestDue = (
  wallMs: number,
  { windowMs, dueMs }: UsageWindows,
): number => Math.ceil((wallMs - dueMs) / windowMs) - 1;

export class UsageCounts {
  private readonly windows = new Map<number, Counts>();
  /** Windows that have changed since they were told. */
  private readonly untold = new Set<number>();

  constructor(
    private readonly bounds: UsageWindows,
    private readonly wallNow: () => number,
  ) {}

  /** A request of a workspace began to run `agoMs` ago. */
  record(workspace: string, agoMs = 0): void {
    const seq = windowAt(this.wallNow() - agoMs, this.bounds.windowMs);
    const counts = this.windows.get(seq) ?? {};
    counts[workspace] = (counts[workspace] ?? 0) + 1;
    this.windows.set(seq, counts);
    this.untold.add(seq);
  }

  /** All that is kept: for a reporter that knows nothing yet. */
  all(): WindowCounts[] {
    return [...this.windows].map(([seq, counts]) => ({ seq, counts }));
  }

  /** What has changed since the last call. */
  takeChanges(): WindowCounts[] {
    this.prune();
    const news = [...this.untold].flatMap((seq) => {
      const counts = this.windows.get(seq);
      return counts === undefined ? [] : [{ seq, counts }];
    });
    this.untold.clear();
    return news;
  }

  private prune(): void {
    const oldest = oldestDue(this.wallNow(), this.bounds) - SPARE_WINDOWS;
    for (const seq of this.windows.keys()) {
      if (seq < oldest) this.windows.delete(seq);
    }
  }
}

/** What all processes have told of their counts, at the one that reports. */
export class UsageLedger {
  /** By window, then by process. */
  private readonly windows = new Map<number, Map<string, Counts>>();

  /** Replaces what that life of a process told of the window before. */
  record(process: string, { seq, counts }: WindowCounts): void {
    const known = this.windows.get(seq) ?? new Map<string, Counts>();
    known.set(process, counts);
    this.windows.set(seq, known);
  }

  total(seq: number): Counts {
    const total: Counts = {};
    for (const counts of this.windows.get(seq)?.values() ?? []) {
      for (const [name, count] of Object.entries(counts)) {
        total[name] = (total[name] ?? 0) + count;
      }
    }
    return total;
  }

  /** Forgets windows before this one. */
  prune(oldest: number): void {
    for (const seq of this.windows.keys()) {
      if (seq < oldest) this.windows.delete(seq);
    }
  }
}
