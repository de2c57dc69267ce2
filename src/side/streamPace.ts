/** Measures the mean time between the events of a stream. */

const EVENT_END = Buffer.from("\n\n");
/** Streams with fewer events are too short for an estimate. */
const MIN_EVENTS = 4;

/** Counts the server-sent events that end in `bytes`. */
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
