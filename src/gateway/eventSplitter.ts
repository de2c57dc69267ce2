/**
 * Splits the bytes of an event stream into whole events, so that an event that
 * a replica left incomplete never reaches a caller. Received bytes are not
 * searched again when more arrive.
 */
import { ByteBuffer } from "../shared/byteBuffer.js";

const LF = 0x0a;
const CR = 0x0d;
const COMMENT_START = 0x3a;
const ID_LINE = /^id: ?(.*)$/gm;

/** The whole events that one chunk of the stream completed. */
export interface WholeEvents {
  bytes: Buffer;
  count: number;
  /** Last event id among them, if any. */
  lastId: string | undefined;
}

/** Finds the line ends of a chunk, each of its bytes being searched once. */
class LineEnds {
  private lf = -1;
  private cr = -1;

  constructor(private readonly chunk: Buffer) {}

  /** Position of the first line end from `from` on; the length if there is none. */
  next(from: number): number {
    this.lf = this.find(LF, this.lf, from);
    this.cr = this.find(CR, this.cr, from);
    return Math.min(this.lf, this.cr);
  }

  private find(byte: number, known: number, from: number): number {
    if (known >= from) return known;
    const at = this.chunk.indexOf(byte, from);
    return at < 0 ? this.chunk.length : at;
  }
}

export class EventSplitter {
  private readonly pending = new ByteBuffer();
  /** Consecutive line ends so far; two end an event. */
  private lineEnds = 0;
  private isAtLineStart = true;
  private isComment = false;
  /** Whether a whole line of the buffered rest is neither blank nor a comment. */
  private hasField = false;
  /** The last byte was a CR: an LF that follows belongs to the same line end. */
  private isAfterCr = false;

  /**
   * Bytes since the end of the last event that had a field: those of the
   * incomplete one, and of blank lines and comments before it.
   */
  bytesSinceEvent = 0;

  /** Size of the incomplete event in the buffer, bytes. */
  get pendingBytes(): number {
    return this.pending.size;
  }

  /**
   * Whether the buffered rest is the beginning of an event, rather than blank
   * lines and comments.
   */
  get isInsideEvent(): boolean {
    return this.hasField || !this.isAtLineStart;
  }

  /** Adds a chunk; returns the events that are now complete. */
  push(chunk: Buffer): WholeEvents {
    const lineEnds = new LineEnds(chunk);
    let count = 0;
    let end = 0;
    /** End of the last event with a field. */
    let eventEnd = 0;
    let at = 0;
    if (this.isAfterCr && chunk[0] === LF) at = 1;
    if (chunk.length > 0) this.isAfterCr = false;
    while (at < chunk.length) {
      const lineEnd = lineEnds.next(at);
      if (lineEnd > at) this.addToLine(chunk[at]);
      if (lineEnd === chunk.length) break;
      at = this.skipLineEnd(chunk, lineEnd);
      const ended = this.endLine();
      if (ended === undefined) continue;
      count += 1;
      end = at;
      if (ended === "event") eventEnd = at;
    }
    if (eventEnd > 0) this.bytesSinceEvent = 0;
    this.bytesSinceEvent += chunk.length - eventEnd;
    if (end === 0) {
      this.pending.append(chunk);
      return { bytes: Buffer.alloc(0), count, lastId: undefined };
    }
    this.pending.append(chunk.subarray(0, end));
    const bytes = this.pending.take();
    this.pending.append(chunk.subarray(end));
    return { bytes, count, lastId: lastIdOf(bytes.toString("latin1")) };
  }

  /** Returns and clears the buffered rest, at the regular end of the stream. */
  flush(): Buffer {
    return this.pending.take();
  }

  /** `first`: the first of the bytes that are added to the line. */
  private addToLine(first: number | undefined): void {
    if (this.isAtLineStart) this.isComment = first === COMMENT_START;
    this.isAtLineStart = false;
    this.lineEnds = 0;
  }

  /** Returns the position behind the line end at `at`. */
  private skipLineEnd(chunk: Buffer, at: number): number {
    if (chunk[at] === LF) return at + 1;
    if (chunk[at + 1] === LF) return at + 2;
    this.isAfterCr = at + 1 === chunk.length;
    return at + 1;
  }

  /** What ends with the line; `empty`: blank lines and comments alone. */
  private endLine(): "event" | "empty" | undefined {
    if (!this.isAtLineStart && !this.isComment) this.hasField = true;
    this.isAtLineStart = true;
    this.lineEnds += 1;
    if (this.lineEnds < 2) return undefined;
    const ended = this.hasField ? "event" : "empty";
    this.lineEnds = 0;
    this.hasField = false;
    return ended;
  }
}

const lastIdOf = (text: string): string | undefined => {
  let last: string | undefined;
  for (const match of text.matchAll(ID_LINE)) {
    last = match[1];
  }
  return last;
};
