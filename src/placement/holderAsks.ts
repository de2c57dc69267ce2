/** Handles the asks of entries at the lease holder, and tracks the open ones. */
import { errText } from "../shared/utils.js";
import type { PlacementAnswer, Queued } from "../scheduling/index.js";
import type { Log } from "../telemetry/index.js";
import { AskTurn, grantsFirst } from "./askTurn.js";
import type { CollectedAsk } from "./askTurn.js";
import type { HolderReplies, PlaceStream } from "./holderReplies.js";
import type { LocalPlacement } from "./localPlacement.js";
import { fromPlaceAsk } from "./messages.js";

/** Retry-after of a request whose processing threw, ms. */
const ERROR_RETRY_AFTER_MS = 1000;
export const ERROR_REFUSAL: PlacementAnswer = {
  kind: "refused",
  why: "no-engine",
  retryAfterMs: ERROR_RETRY_AFTER_MS,
};

type Ask = CollectedAsk<PlaceStream>;

export class HolderAsks {
  private readonly turn = new AskTurn<PlaceStream>((asks) => this.answer(asks));
  /**
   * Ids of requests that are queued or at an engine, by stream. Nobody else
   * reports on them: when an entry disconnects, its connections to engines
   * close too, and its requests must not count as running.
   */
  private readonly open = new Map<PlaceStream, Set<string>>();

  constructor(
    private readonly placement: LocalPlacement,
    private readonly replies: HolderReplies,
    private readonly log: Log,
  ) {}

  add(ask: Ask): void {
    this.turn.add(ask);
  }

  /** A grant that the entry of this stream has in use. */
  addOpen(stream: PlaceStream, id: string): void {
    const ids = this.open.get(stream) ?? new Set();
    ids.add(id);
    this.open.set(stream, ids);
  }

  /** The entry uses no grant by this id any more. */
  onEnded(stream: PlaceStream, id: string): void {
    this.open.get(stream)?.delete(id);
    this.turn.drop(id);
  }

  /** The entry has disconnected. */
  leave(service: string, stream: PlaceStream): void {
    this.turn.dropAll(stream);
    const open = this.open.get(stream) ?? [];
    this.open.delete(stream);
    for (const id of open) this.placement.cancel(service, id);
  }

  logError(service: string, id: string | undefined, err: unknown): void {
    const fields = { service, id, why: errText(err) };
    this.log.error("placement call threw", fields);
  }

  close(): void {
    this.turn.close();
  }

  private answer(asks: readonly Ask[]): void {
    for (const service of new Set(asks.map((item) => item.service)))
      this.placement.beginTurn(service);
    const answers = asks.map((collected) => ({
      collected,
      answer: this.place(collected),
    }));
    for (const { collected, answer } of grantsFirst(answers)) {
      const { service, stream, ask } = collected;
      this.replies.send(service, stream, ask.id, answer);
    }
  }

  private place({ service, stream, ask }: Ask): PlacementAnswer | Queued {
    const { placement } = this;
    const { id } = ask;
    try {
      const request = fromPlaceAsk(service, ask);
      const answer = placement.placeInTurn(request, (later) => {
        if (later.kind === "refused") this.open.get(stream)?.delete(id);
        this.replies.send(service, stream, id, later);
      });
      if (answer.kind !== "refused") this.addOpen(stream, id);
      return answer;
    } catch (err) {
      this.logError(service, id, err);
      placement.cancel(service, id);
      return ERROR_REFUSAL;
    }
  }
}
