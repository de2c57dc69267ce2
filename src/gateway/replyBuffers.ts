/**
 * Bounds what all replies together keep in memory before it can be passed on.
 * Beyond the bound the reply that keeps most is dropped, so that a few peers
 * that send without end cost no other reply its place.
 */

/** A reply whose bytes are kept until they are whole. */
export interface BufferedReply {
  /** Closes its connection; what was kept is not used. */
  drop(why: string): void;
}

const TOO_MUCH = "replies keep too many bytes, and this one keeps most";

export class ReplyBuffers {
  private readonly sizes = new Map<BufferedReply, number>();
  private total = 0;

  constructor(private readonly maxBytes: number) {}

  /** `bytes`: kept for the reply by now; 0 once it has ended. */
  set(reply: BufferedReply, bytes: number): void {
    const before = this.sizes.get(reply) ?? 0;
    if (bytes === before) return;
    this.total += bytes - before;
    if (bytes > 0) this.sizes.set(reply, bytes);
    else this.sizes.delete(reply);
    if (this.total > this.maxBytes) this.dropLargest();
  }

  private dropLargest(): void {
    let largest: BufferedReply | undefined;
    let most = 0;
    for (const [reply, bytes] of this.sizes) {
      if (bytes <= most) continue;
      largest = reply;
      most = bytes;
    }
    if (largest === undefined) return;
    this.set(largest, 0);
    largest.drop(TOO_MUCH);
  }
}
