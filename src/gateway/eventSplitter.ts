/**
 * Cuts the bytes of an event stream into whole events, so that an event that
 * a replica left unfinished never reaches a caller.
 */

const BLANK_LINES = ["\n\n", "\n\r\n"] as const;
const ID_LINE = /^id: ?(.*?)\r?$/gm;
const EVENT_END = /\n\r?\n/g;

/** Whole events of one piece of the stream. */
export interface WholeEvents {
  bytes: Buffer;
  count: number;
  /** Id of the last event, if one had an id. */
  lastId: string | undefined;
}

export class EventSplitter {
  private held: Buffer = Buffer.alloc(0);

  /** Bytes of an event whose end has not come. */
  get pendingBytes(): number {
    return this.held.length;
  }

  /** Takes bytes; gives the events that are whole by now. */
  push(chunk: Buffer): WholeEvents {
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
    const text = bytes.toString("latin1");
    const count = text.match(EVENT_END)?.length ?? 0;
    return { bytes, count, lastId: lastIdOf(text) };
  }

  /** What is held at the regular end of the stream. */
  flush(): Buffer {
    const { held } = this;
    this.held = Buffer.alloc(0);
    return held;
  }
}

const lastIdOf = (text: string): string | undefined => {
  let last: string | undefined;
  for (const match of text.matchAll(ID_LINE)) {
    last = match[1];
  }
  return last;
};
