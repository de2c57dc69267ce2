/**
 * Cuts the bytes of an event stream into whole events, so that an event that
 * a replica left unfinished never reaches a caller.
 */

const BLANK_LINES = ["\n\n", "\n\r\n"] as const;
const ID_LINE = /^id: ?(.*?)\r?$/gm;

/** Whole events of one piece of the stream. */
export interface WholeEvents {
  bytes: Buffer;
  /** Id of the last event, if one had an id. */
  lastId: string | undefined;
}

export class EventSplitter {
  private held: Buffer = Buffer.alloc(0);

  /** Bytes of an event whose end has not come. */
  get heldBytes(): number {
    return this.held.length;
  }

  /** Takes bytes; gives the events that are whole by now. */
  take(chunk: Buffer): WholeEvents {
    const all =
      this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    const end = Math.max(
      ...BLANK_LINES.map((blank) => {
        const at = all.lastIndexOf(blank);
        return at < 0 ? 0 : at + blank.length;
      }),
    );
    this.held = all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, lastId: lastIdOf(bytes) };
  }

  /** What is held at the regular end of the stream. */
  rest(): Buffer {
    const { held } = this;
    this.held = Buffer.alloc(0);
    return held;
  }
}

const lastIdOf = (bytes: Buffer): string | undefined => {
  let last: string | undefined;
  for (const match of bytes.toString("latin1").matchAll(ID_LINE)) {
    last = match[1];
  }
  return last;
};
