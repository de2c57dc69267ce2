/** One service's stream to the gateway that holds its lease. */
import { credentials } from "@grpc/grpc-js";
import type { ClientDuplexStream } from "@grpc/grpc-js";

import { SchedulingClient } from "../gen/snowgate.js";
import type { PlaceCall, PlaceEvent, PlaceReply } from "../gen/snowgate.js";
import type {
  Grant,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
} from "../scheduling/index.js";
import type { Log } from "../telemetry/index.js";
import { fromPlaceReply, toPlaceAsk, toPlaceEvent } from "./messages.js";
import type { HolderState } from "./messages.js";
import { KEEPALIVE_OPTIONS } from "./placementServer.js";

/**
 * An ask without an answer by then is placed here, ms. A holder that is busy
 * for a moment still places better than a guess, so this is about as long as
 * a request can wait and be in time.
 */
const ANSWER_MS = 90;
/** Events wait this long for an ask to go with, ms. */
const EVENTS_MS = 6;
/** A holder that has not accepted the stream by then is given up, ms. */
const CONNECT_MS = 1000;
/** A holder that has answered nothing for so long counts as lost, ms. */
const LOST_MS = 400;

interface Waiting {
  resolve(answer: PlacementAnswer | undefined): void;
  timer: NodeJS.Timeout;
}

export interface PlacementClientOptions {
  service: string;
  address: string;
  /** It places nothing here, and only waits for the holder to be lost. */
  isStandby: boolean;
  /** The holder reads what is sent from now on. */
  onAccepted(): void;
  /** The stream ended; the client is of no further use. */
  onLost(why: string): void;
  onState(state: HolderState): void;
  log: Log;
  now: () => number;
}

export class PlacementClient {
  private readonly client: SchedulingClient;
  private readonly stream: ClientDuplexStream<PlaceCall, PlaceReply>;
  private readonly waiting = new Map<string, Waiting>();
  private events: PlaceEvent[] = [];
  private eventTimer: NodeJS.Timeout | undefined;
  /** When the first ask since the last answer was sent, ms. */
  private silentSince: number | undefined;
  private isLost = false;
  /** The holder has accepted the stream. */
  private isReady = false;
  private readonly connectTimer: NodeJS.Timeout;

  constructor(private readonly options: PlacementClientOptions) {
    const insecure = credentials.createInsecure();
    this.client = new SchedulingClient(
      options.address,
      insecure,
      KEEPALIVE_OPTIONS,
    );
    this.stream = this.client.place();
    this.stream.on("metadata", () => {
      this.isReady = true;
      clearTimeout(this.connectTimer);
      options.onAccepted();
    });
    this.stream.on("data", (reply: PlaceReply) => this.onReply(reply));
    this.stream.on("end", () => this.lose("the holder ended the stream"));
    this.stream.on("error", (err) => this.lose(err.message));
    const giveUp = () => this.lose("the holder can't be reached");
    this.connectTimer = setTimeout(giveUp, CONNECT_MS);
    // Makes this entry known before its first ask.
    this.send({});
  }

  get address(): string {
    return this.options.address;
  }

  /** Asks that are not answered yet. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** The holder's answer; undefined if it can't be had. */
  ask(ask: PlacementAsk): Promise<PlacementAnswer | undefined> {
    if (this.isLost || !this.isReady) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      // After a stall of this process the answer may be there, unread: the
      // timer comes before it, what it sets off comes after.
      const giveUp = () => setImmediate(() => this.onUnanswered(ask.id));
      const timer = setTimeout(giveUp, ANSWER_MS);
      this.waiting.set(ask.id, { resolve, timer });
      this.silentSince ??= this.options.now();
      this.send({ ask: toPlaceAsk(ask) });
    });
  }

  /** Told with the next ask, or soon. */
  note(event: PlacementEvent): void {
    if (this.isLost) return;
    this.events.push(toPlaceEvent(event));
    this.eventTimer ??= setTimeout(() => this.send({}), EVENTS_MS);
  }

  /** Tells the holder of a grant that is in use already. */
  tellHeld(ask: PlacementAsk, grant: Grant): void {
    const { reader = "", runner } = grant;
    this.send({ held: { ask: toPlaceAsk(ask), reader, runner } });
  }

  close(): void {
    this.lose("closed");
  }

  private send(call: Partial<PlaceCall>): void {
    if (this.isLost) return;
    const { service } = this.options;
    const { events } = this;
    this.events = [];
    clearTimeout(this.eventTimer);
    this.eventTimer = undefined;
    this.stream.write({
      service,
      ask: undefined,
      events,
      held: undefined,
      isStandby: this.options.isStandby,
      ...call,
    });
  }

  private onReply(reply: PlaceReply): void {
    const { entries, isFresh, standbyRank } = reply;
    this.silentSince = undefined;
    this.options.onState({ entries, isFresh, standbyRank });
    const waiting = this.waiting.get(reply.id);
    if (waiting !== undefined) {
      this.waiting.delete(reply.id);
      clearTimeout(waiting.timer);
      return waiting.resolve(fromPlaceReply(reply));
    }
    // Too late: the request was placed here, so the grant is given back.
    if (reply.runner === "") return;
    this.note({ kind: "ended", id: reply.id, ok: true, firstEventMs: 0 });
  }

  private onUnanswered(id: string): void {
    const waiting = this.waiting.get(id);
    if (waiting === undefined) return;
    this.waiting.delete(id);
    waiting.resolve(undefined);
    const { now } = this.options;
    const silentMs = now() - (this.silentSince ?? now());
    if (silentMs >= LOST_MS) this.lose("asks are not answered");
  }

  private lose(why: string): void {
    if (this.isLost) return;
    this.isLost = true;
    clearTimeout(this.connectTimer);
    clearTimeout(this.eventTimer);
    for (const { resolve, timer } of this.waiting.values()) {
      clearTimeout(timer);
      resolve(undefined);
    }
    this.waiting.clear();
    this.stream.cancel();
    this.client.close();
    this.options.onLost(why);
  }
}
