/**
 * Splits the bytes of an event stream into whole events, so that an event that
 * a replica left incomplete never reaches a caller.
 */

const BLANK_LINES = ["\n\n", "\n\r\n"] as const;
const ID_LINE = /^id: ?(.*?)\r?$/gm;
const EVENT_END = /\n\r?\n/g;

/** The whole events that one chunk of the stream completed. */
export interface WholeEvents {
  bytes: Buffer;
  count: number;
  /** Last event id among them, if any. */
  lastId: string | undefined;
}

export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Size of the incomplete event in the buffer, bytes. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds a chunk; returns the events that are now complete. */
  push(chunk: Buffer): WholeEvents {
    const all =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = Math.max(
      ...BLANK_LINES.map((blank) => {
        const at = all.lastIndexOf(blank);
        return at < 0 ? 0 : at + blank.length;
      }),
    );
    this.pending = all.subarray(end);
    const bytes = all.subarray(0, end);
    const text = bytes.toString("latin1");
    const count = text.match(EVENT_END)?.length ?? 0;
    return { bytes, count, lastId: lastIdOf(text) };
  }

  /** Returns and clears the buffered rest, at the regular end of the stream. */
  flush(): Buffer {
    const { pending } = this;
    this.pending = Buffer.alloc(0);
    return pending;
  }
}

const lastIdOf = (text: string): string | undefined => {
  let last: string | undefined;
  for (const match of text.matchAll(ID_LINE)) {
    last = match[1];
  }
  return last;
};
