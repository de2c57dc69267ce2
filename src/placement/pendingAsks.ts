/** Placement requests that the lease holder has not answered yet. */
import type { PlacementAnswer } from "../scheduling/index.js";

/**
 * Timeout of a placement request, ms; it is then placed locally. A briefly busy
 * holder still places better than an estimate, so this is about as long as a
 * request can wait and still be in time.
 */
const ANSWER_TIMEOUT_MS = 90;

interface Pending {
  resolve(answer: PlacementAnswer | undefined): void;
  timer: NodeJS.Timeout;
  requestedAt: number;
  /** The holder has queued the request and answers when an engine is free. */
  isQueued: boolean;
}

export class PendingAsks {
  private readonly asks = new Map<string, Pending>();
  private queuedCount = 0;

  /** `onLate`: called when an ask was neither answered nor queued in time. */
  constructor(private readonly onLate: (id: string) => void) {}

  /** Number of requests that the holder has neither answered nor queued yet. */
  get unacknowledgedCount(): number {
    return this.asks.size - this.queuedCount;
  }

  /** The holder's answer; undefined if there is none. */
  open(id: string, now: number): Promise<PlacementAnswer | undefined> {
    return new Promise((resolve) => {
      // After a stall of this process the answer may already be buffered.
      // Timers run before I/O callbacks, and `setImmediate` after them, so the
      // answer is read first.
      const giveUp = () => setImmediate(() => this.onTimeout(id));
      const timer = setTimeout(giveUp, ANSWER_TIMEOUT_MS);
      this.asks.set(id, { resolve, timer, requestedAt: now, isQueued: false });
    });
  }

  /** The holder has queued the request; false if it is not waited for. */
  markQueued(id: string): boolean {
    const ask = this.asks.get(id);
    if (ask === undefined) return false;
    clearTimeout(ask.timer);
    if (!ask.isQueued) this.queuedCount += 1;
    ask.isQueued = true;
    return true;
  }

  /** Removes a request; undefined if it is not waited for. */
  take(id: string): Pending | undefined {
    const ask = this.asks.get(id);
    if (ask === undefined) return undefined;
    this.asks.delete(id);
    clearTimeout(ask.timer);
    if (ask.isQueued) this.queuedCount -= 1;
    return ask;
  }

  /** Resolves all requests without an answer. */
  close(): void {
    for (const id of [...this.asks.keys()]) this.take(id)?.resolve(undefined);
  }

  private onTimeout(id: string): void {
    if (this.asks.get(id)?.isQueued !== false) return;
    this.take(id)?.resolve(undefined);
    this.onLate(id);
  }
}
