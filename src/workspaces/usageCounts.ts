/**
 * Counts of started requests by time window and workspace. Windows are numbered
 * from the Unix epoch, so that a number means the same window in all processes.
 */

/** Requests by workspace. */
export type Counts = Record<string, number>;

/** One process's counts for one window so far. */
export interface WindowCounts {
  seq: number;
  counts: Counts;
}

/** Windows kept beyond those that may still be reported. */
const SPARE_WINDOWS = 2;

export interface UsageWindows {
  windowMs: number;
  /** A window's report is due this long after the window ends, ms. */
  dueMs: number;
}

/** Returns the number of the window that contains a time. */
export const windowAt = (wallMs: number, windowMs: number): number =>
  Math.floor(wallMs / windowMs);

/** Returns the oldest window whose report can still be on time. */
export const oldestDue = (
  wallMs: number,
  { windowMs, dueMs }: UsageWindows,
): number => Math.ceil((wallMs - dueMs) / windowMs) - 1;

/** The counts of this process. */
export class UsageCounts {
  private readonly windows = new Map<number, Counts>();
  /** Windows that have changed since the last `takeChanges`. */
  private readonly changed = new Set<number>();

  constructor(
    private readonly bounds: UsageWindows,
    private readonly wallNow: () => number,
  ) {}

  /** Counts a request of a workspace that started `agoMs` ago. */
  record(workspace: string, agoMs = 0): void {
    const seq = windowAt(this.wallNow() - agoMs, this.bounds.windowMs);
    const counts = this.windows.get(seq) ?? {};
    counts[workspace] = (counts[workspace] ?? 0) + 1;
    this.windows.set(seq, counts);
    this.changed.add(seq);
  }

  /** All kept windows, for a new reporter. */
  all(): WindowCounts[] {
    return [...this.windows].map(([seq, counts]) => ({ seq, counts }));
  }

  /** Returns the windows that have changed since the last call. */
  takeChanges(): WindowCounts[] {
    this.prune();
    const changes = [...this.changed].flatMap((seq) => {
      const counts = this.windows.get(seq);
      return counts === undefined ? [] : [{ seq, counts }];
    });
    this.changed.clear();
    return changes;
  }

  private prune(): void {
    const oldest = oldestDue(this.wallNow(), this.bounds) - SPARE_WINDOWS;
    for (const seq of this.windows.keys()) {
      if (seq < oldest) this.windows.delete(seq);
    }
  }
}

/** The counts of all processes, at the process that reports them. */
export class UsageLedger {
  /** By window, then by process. */
  private readonly windows = new Map<number, Map<string, Counts>>();

  /** Replaces the earlier counts of a process incarnation for the window. */
  record(process: string, { seq, counts }: WindowCounts): void {
    const known = this.windows.get(seq) ?? new Map<string, Counts>();
    known.set(process, counts);
    this.windows.set(seq, known);
  }

  /** Sums a window's counts over all processes. */
  total(seq: number): Counts {
    const total: Counts = {};
    for (const counts of this.windows.get(seq)?.values() ?? []) {
      for (const [name, count] of Object.entries(counts)) {
        total[name] = (total[name] ?? 0) + count;
      }
    }
    return total;
  }

  /** Deletes the windows before `oldest`. */
  prune(oldest: number): void {
    for (const seq of this.windows.keys()) {
      if (seq < oldest) this.windows.delete(seq);
    }
  }
}
