/** Time between the events of one stream, from its bytes. */

const EVENT_END = Buffer.from("\n\n");
/** Shorter streams say little about the pace. */
const MIN_EVENTS = 4;

/** Server-sent events that end in these bytes. */
const countEvents = (bytes: Buffer): number => {
  let count = 0;
  let at = bytes.indexOf(EVENT_END);
  while (at !== -1) {
    count += 1;
    at = bytes.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return count;
};

export class StreamPace {
  private firstAt: number | undefined;
  private events = 0;

  onBytes(bytes: Buffer, now: number): void {
    if (this.firstAt === undefined) this.firstAt = now;
    else this.events += countEvents(bytes);
  }

  /** Mean time between two events, ms; undefined for a short stream. */
  paceMs(now: number): number | undefined {
    if (this.firstAt === undefined || this.events < MIN_EVENTS) {
      return undefined;
    }
    return (now - this.firstAt) / this.events;
  }
}
