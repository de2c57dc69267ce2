/**
 * Cancels what is done for a request. `AbortSignal` does the same, but costs
 * a good part of a send when it is passed to each.
 */

export class Cancellation {
  private cancelled = false;
  private readonly callbacks = new Set<() => void>();

  get isCancelled(): boolean {
    return this.cancelled;
  }

  cancel(): void {
    if (this.cancelled) return;
    this.cancelled = true;
    for (const callback of this.callbacks) callback();
    this.callbacks.clear();
  }

  /** Runs `callback` at the cancellation; gives the way to take it back. */
  onCancel(callback: () => void): () => void {
    if (this.cancelled) {
      callback();
      return () => undefined;
    }
    this.callbacks.add(callback);
    return () => this.callbacks.delete(callback);
  }
}

/** A cancellation that comes with its parent's, or after a time. */
export class BoundedCancellation extends Cancellation {
  private readonly timer: NodeJS.Timeout | undefined;
  private readonly leave: () => void;

  constructor(parent: Cancellation | undefined, timeoutMs: number | undefined) {
    super();
    this.leave = parent?.onCancel(() => this.cancel()) ?? (() => undefined);
    if (timeoutMs === undefined) return;
    this.timer = setTimeout(() => this.cancel(), timeoutMs);
  }

  /** To be called when the work is over. */
  dispose(): void {
    clearTimeout(this.timer);
    this.leave();
  }
}
