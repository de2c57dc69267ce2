/**
 * Cancels the work done for a request. Used instead of `AbortSignal`, which adds
 * a considerable part of the cost of a send when it is passed to each one.
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

  /**
   * Runs `callback` on cancellation, or at once if already cancelled. Returns a
   * function that unregisters it.
   */
  onCancel(callback: () => void): () => void {
    if (this.cancelled) {
      callback();
      return () => undefined;
    }
    this.callbacks.add(callback);
    return () => this.callbacks.delete(callback);
  }
}

/** Is cancelled together with its parent, or after a timeout in ms. */
export class BoundedCancellation extends Cancellation {
  private readonly timer: NodeJS.Timeout | undefined;
  private readonly detach: () => void;

  constructor(parent: Cancellation | undefined, timeoutMs: number | undefined) {
    super();
    this.detach = parent?.onCancel(() => this.cancel()) ?? (() => undefined);
    if (timeoutMs === undefined) return;
    this.timer = setTimeout(() => this.cancel(), timeoutMs);
  }

  /** Releases the timer and the parent; call it when the work is done. */
  dispose(): void {
    clearTimeout(this.timer);
    this.detach();
  }
}
