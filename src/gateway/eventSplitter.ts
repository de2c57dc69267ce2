/**
 * Splits the bytes of an event stream into whole events, so that an event that
 * a replica left incomplete never reaches a caller.
 */

/** A line ends with CR LF, LF or CR; the last two bytes of CR LF are one end. */
const LINE_END = "(?:\\r\\n|\\r(?!\\n)|\\n)";
const LINE = new RegExp(`(.*?)${LINE_END}`, "gs");
const EVENT_END = new RegExp(`${LINE_END}{2}`, "g");
const ID_LINE = /^id: ?(.*)$/gm;
const COMMENT_START = ":";

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

  /**
   * Whether the buffered rest is the beginning of an event, rather than blank
   * lines and comments.
   */
  get isInsideEvent(): boolean {
    const text = this.pending.toString("latin1");
    let end = 0;
    for (const { 0: line, 1: content = "" } of text.matchAll(LINE)) {
      end += line.length;
      if (content !== "" && !content.startsWith(COMMENT_START)) return true;
    }
    return end < text.length;
  }

  /** Adds a chunk; returns the events that are now complete. */
  push(chunk: Buffer): WholeEvents {
    const all =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const text = all.toString("latin1");
    let count = 0;
    let end = 0;
    for (const { 0: blank, index } of text.matchAll(EVENT_END)) {
      count += 1;
      end = index + blank.length;
    }
    this.pending = all.subarray(end);
    const lastId = lastIdOf(text.slice(0, end));
    return { bytes: all.subarray(0, end), count, lastId };
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
