/**
 * Writes lines to a file descriptor without blocking the event loop: a pipe
 * whose reader has stopped blocks only a thread of the pool. Lines that exceed
 * the buffer are dropped and counted.
 */
import { write } from "node:fs";

/** Maximum delay before buffered lines are written, ms. */
const FLUSH_MS = 50;
/** Maximum size of the buffer for a slow reader, bytes. */
const MAX_PENDING_BYTES = 512 * 1024;

/** Buffered, non-blocking line writer; `flushMs` is in ms. */
export class LineWriter {
  private pending: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;
  /** Lines dropped since the last report in the log. */
  private dropped = 0;
  private droppedTotal = 0;

  constructor(
    private readonly fd: number,
    private readonly flushMs = FLUSH_MS,
  ) {}

  /** Lines dropped since the start. */
  get droppedLines(): number {
    return this.droppedTotal;
  }

  /** Buffers a line, or drops it if the buffer is full. */
  line(text: string): void {
    if (this.pendingBytes + text.length > MAX_PENDING_BYTES) {
      this.dropped += 1;
      this.droppedTotal += 1;
      return;
    }
    this.pending.push(text);
    this.pendingBytes += text.length;
    this.timer ??= setTimeout(() => this.flush(), this.flushMs).unref();
  }

  /** Starts writing the buffered lines. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.pending.length === 0) return;
    if (this.dropped > 0) {
      const count = this.dropped;
      this.pending.push(
        JSON.stringify({ message: "log lines dropped", count }),
      );
      this.dropped = 0;
    }
    const bytes = Buffer.from(`${this.pending.join("\n")}\n`);
    this.pending = [];
    this.pendingBytes = 0;
    this.isWriting = true;
    this.writeAll(bytes, () => {
      this.isWriting = false;
      this.flush();
    });
  }

  private writeAll(bytes: Buffer, done: () => void): void {
    write(this.fd, bytes, (err, written) => {
      // EAGAIN: the pipe is full, so retry. Other errors: the reader is gone.
      if (err !== null && err.code !== "EAGAIN") return done();
      const rest = bytes.subarray(err === null ? written : 0);
      if (rest.length === 0) return done();
      setTimeout(() => this.writeAll(rest, done), this.flushMs).unref();
    });
  }
}
