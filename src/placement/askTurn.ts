/**
 * Collects the asks that reach the lease holder in one turn of the event loop.
 * They are handled at its end, after all reports that arrived with them: these
 * free capacity, and withdraw asks that their entry waits for no longer.
 */
import type { PlaceAsk } from "../gen/snowgate.js";
import type { PlacementAnswer, Queued } from "../scheduling/index.js";

export interface CollectedAsk<Stream> {
  service: string;
  stream: Stream;
  ask: PlaceAsk;
}

/** An answer that is ready, and where it goes. */
export interface ReadyAnswer<Stream> {
  collected: CollectedAsk<Stream>;
  answer: PlacementAnswer | Queued;
}

export class AskTurn<Stream> {
  private asks = new Map<string, CollectedAsk<Stream>>();
  private timer: NodeJS.Immediate | undefined;

  /** `handle` gets all asks of a turn. */
  constructor(
    private readonly handle: (asks: readonly CollectedAsk<Stream>[]) => void,
  ) {}

  add(collected: CollectedAsk<Stream>): void {
    this.asks.set(collected.ask.id, collected);
    // The stream hands over further messages of one read in the next turn.
    this.timer ??= setImmediate(() => {
      this.timer = setImmediate(() => this.end());
    });
  }

  /** Withdraws an ask that has not been handled yet. */
  drop(id: string): void {
    this.asks.delete(id);
  }

  /** Withdraws all asks of an entry that has disconnected. */
  dropAll(stream: Stream): void {
    for (const [id, collected] of this.asks)
      if (collected.stream === stream) this.asks.delete(id);
  }

  close(): void {
    clearImmediate(this.timer);
    this.asks.clear();
  }

  private end(): void {
    this.timer = undefined;
    const asks = [...this.asks.values()];
    this.asks.clear();
    if (asks.length > 0) this.handle(asks);
  }
}

/** Grants first: the time to the first event runs for their callers. */
export const grantsFirst = <Stream>(
  answers: readonly ReadyAnswer<Stream>[],
): ReadyAnswer<Stream>[] => {
  const isGrant = ({ answer }: ReadyAnswer<Stream>) =>
    answer.kind === "granted";
  return [
    ...answers.filter(isGrant),
    ...answers.filter((item) => !isGrant(item)),
  ];
};
