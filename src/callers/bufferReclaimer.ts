/**
 * Collects garbage once buffers that are no longer used take too much. V8 waits
 * with them for half of its heap's limit, which may be more than the VM has.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

export class BufferReclaimer {
  private collector: (() => void) | undefined;
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
      if (this.allocated() - held > this.maxBytes) this.collect();
    });
  }

  private collect(): void {
    this.collector ??= this.newCollector();
    this.collector();
  }
}

const garbageCollector = (): (() => void) => {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
};
