/**
 * Collects bytes that arrive in chunks of any size. Each byte is copied a
 * constant number of times, and small chunks are not kept as objects.
 */

const EMPTY = Buffer.alloc(0);
const MIN_CAPACITY = 1024;

export class ByteBuffer {
  /** Its first `size` bytes are in use. */
  private store: Buffer = EMPTY;
  /** Whether `store` may be written to, rather than being a caller's chunk. */
  private isOwn = false;
  private used = 0;

  get size(): number {
    return this.used;
  }

  /** What was collected; valid until the next call of another method. */
  get bytes(): Buffer {
    return this.store.subarray(0, this.used);
  }

  /** Keeps a single chunk by reference; it must not be changed afterwards. */
  append(chunk: Buffer): void {
    if (chunk.length === 0) return;
    if (this.used === 0) {
      this.store = chunk;
      this.isOwn = false;
    } else {
      this.reserve(this.used + chunk.length);
      chunk.copy(this.store, this.used);
    }
    this.used += chunk.length;
  }

  /** Returns and clears what was collected. */
  take(): Buffer {
    const { bytes } = this;
    this.store = EMPTY;
    this.isOwn = false;
    this.used = 0;
    return bytes;
  }

  private reserve(size: number): void {
    if (this.isOwn && size <= this.store.length) return;
    const capacity = Math.max(MIN_CAPACITY, size, this.used * 2);
    const grown = Buffer.allocUnsafe(capacity);
    this.store.copy(grown, 0, 0, this.used);
    this.store = grown;
    this.isOwn = true;
  }
}
