/**
 * Collects garbage once buffers that are no longer used take too much. V8 waits
 * with them for half of its heap's limit, which may be more than the VM has.
 */

export class BufferReclaimer {
  private collector: Promise<() => void> | undefined;
  /** Bytes that were let go since the last look. */
  private released = 0;
  private isScheduled = false;

  constructor(
    private readonly maxBytes: number,
    private readonly allocated = () => process.memoryUsage().arrayBuffers,
    private readonly newCollector = garbageCollector,
  ) {}

  /** Counts bytes that are no longer used; `held` still are. */
  record(bytes: number, held: number): void {
    this.released += bytes;
    if (this.released < this.maxBytes || this.isScheduled) return;
    this.isScheduled = true;
    // What is used within one turn of the event loop is released after it.
    setImmediate(() => {
      this.isScheduled = false;
      this.released = 0;
      if (this.allocated() - held > this.maxBytes) void this.collect();
    });
  }

  private async collect(): Promise<void> {
    this.collector ??= this.newCollector();
    const collector = await this.collector;
    collector();
  }
}

/** Loaded once it is needed: both modules take memory. */
const garbageCollector = async (): Promise<() => void> => {
  const { setFlagsFromString } = await import("node:v8");
  const { runInNewContext } = await import("node:vm");
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
};
