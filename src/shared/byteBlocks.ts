/**
 * Collects bytes that are needed whole only at the end. The first chunk and
 * large ones are kept as they are, others in blocks, so that no buffer grows.
 */

const BLOCK_BYTES = 16 * 1024;

export class ByteBlocks {
  private readonly blocks: Buffer[] = [];
  /** Block for small chunks, and the bytes of it that are in use. */
  private block: Buffer | undefined;
  private used = 0;
  private total = 0;

  get size(): number {
    return this.total;
  }

  /** The chunk may be kept by reference, and must not be changed afterwards. */
  append(chunk: Buffer): void {
    const isFirst = this.total === 0;
    this.total += chunk.length;
    if (isFirst || chunk.length > BLOCK_BYTES / 2) {
      this.closeBlock();
      this.blocks.push(chunk);
      return;
    }
    if (this.used + chunk.length > BLOCK_BYTES) this.closeBlock();
    this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    chunk.copy(this.block, this.used);
    this.used += chunk.length;
  }

  /** Returns and clears what was collected. */
  take(): Buffer {
    this.closeBlock();
    const [only] = this.blocks;
    const isWhole = only !== undefined && this.blocks.length === 1;
    const bytes = isWhole ? only : Buffer.concat(this.blocks, this.total);
    this.clear();
    return bytes;
  }

  clear(): void {
    this.blocks.length = 0;
    this.block = undefined;
    this.used = 0;
    this.total = 0;
  }

  private closeBlock(): void {
    if (this.block !== undefined)
      this.blocks.push(this.block.subarray(0, this.used));
    this.block = undefined;
    this.used = 0;
  }
}
