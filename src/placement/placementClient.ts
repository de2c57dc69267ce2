/** One service's stream to the gateway that holds its lease. */
import { credentials } from "@grpc/grpc-js";
import type { ClientDuplexStream } from "@grpc/grpc-js";

import { SchedulingClient } from "../gen/snowgate.js";
import type {
  ConfigAnswer,
  PlaceCall,
  PlaceEvent,
  PlaceReply,
} from "../gen/snowgate.js";
import type {
  Grant,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
} from "../scheduling/index.js";
import type { PermitAnswer, RateNews } from "../rateLimits/index.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import type { ConfigNews, WindowCounts } from "../workspaces/index.js";
import {
  fromConfigAnswer,
  fromPlaceReply,
  toPlaceAsk,
  toPlaceEvent,
  toUsageWindow,
} from "./messages.js";
import type { HolderState } from "./messages.js";
import { PendingPermitAsks } from "./pendingPermitAsks.js";
import { fromRateNews, toRateNews } from "./rateMessages.js";
import { KEEPALIVE_OPTIONS, CONCURRENT_STANDBYS } from "./placementServer.js";

/**
 * An ask without an answer by then is placed here, ms. A holder that is busy
 * for a moment still places better than a guess, so this is about as long as
 * a request can wait and be in time.
 */
const ANSWER_MS = 90;
/**
 * Events wait this long for an ask or other events to go with, ms: the ends
 * of reads, by which the holder gives out the next ones, …
 */
const READS_MS = 6;
/** … and all others, which free room. */
const EVENTS_MS = 30;
/** A holder that has not accepted the stream by then is given up, ms. */
const CONNECT_MS = 1000;
/** A holder that has answered nothing for so long counts as lost, ms. */
const LOST_MS = 400;

/**
 * A standby that is told the holder's state each 300 ms counts it as lost
 * after a silence of so long, ms: two in a row may be late.
 */
const BEATS_LOST_MS = 900;

interface Waiting {
  resolve(answer: PlacementAnswer | undefined): void;
  timer: NodeJS.Timeout;
  askedAt: number;
  /** The holder has it, and answers when an engine comes free. */
  isQueued: boolean;
}

export interface PlacementClientOptions {
  service: string;
  address: string;
  /** It places nothing here, and only waits for the holder to be lost. */
  isStandby: boolean;
  /** The holder reads what is sent from now on. */
  onAccepted(): void;
  /** The stream ended; the client is of no further use. */
  onDisconnected(why: string): void;
  onState(state: HolderState): void;
  /** The same and suspensions of the machine; proofs count from it. */
  leaseNow: () => number;
  /** The holder answered so to a question that was sent at `sentAt`. */
  onConfig(news: ConfigNews, sentAt: number): void;
  /** What replicas have said to other processes of the rate they take. */
  onRates(news: readonly RateNews[]): void;
  log: Log;
  now: () => number;
}

export class PlacementClient {
  private readonly client: SchedulingClient;
  private readonly stream: ClientDuplexStream<PlaceCall, PlaceReply>;
  private readonly waiting = new Map<string, Waiting>();
  private readonly permitAsks = new PendingPermitAsks();
  private queuedCount = 0;
  private events: PlaceEvent[] = [];
  private eventTimer: NodeJS.Timeout | undefined;
  /** Whether the events go out soon: one of them is the end of a read. */
  private isUrgent = false;
  /** When the first ask since the last answer was sent, ms. */
  private silentSince: number | undefined;
  /** The last question for the configuration, and when it was sent, ms. */
  private configAsk = { number: 0, sentAt: 0 };
  /** States that a standby was told. */
  private beats = 0;
  private beatTimer: NodeJS.Timeout | undefined;
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

  /** Asks that the holder has not taken up yet. */
  get unacknowledgedCount(): number {
    return this.waiting.size - this.queuedCount;
  }

  /** The holder's answer; undefined if it can't be had. */
  ask(ask: PlacementAsk): Promise<PlacementAnswer | undefined> {
    if (this.isLost || !this.isReady) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      // After a stall of this process the answer may be there, unread: the
      // timer comes before it, what it sets off comes after.
      const giveUp = () => setImmediate(() => this.onUnanswered(ask.id));
      const timer = setTimeout(giveUp, ANSWER_MS);
      const askedAt = this.options.now();
      this.waiting.set(ask.id, { resolve, timer, askedAt, isQueued: false });
      this.silentSince ??= askedAt;
      this.send({ ask: toPlaceAsk(ask) });
    });
  }

  /** Takes an ask back; it is not answered any more. */
  cancel(id: string): void {
    if (this.take(id) === undefined) return;
    this.reportEvent({ kind: "ended", id, ok: true, firstEventMs: 0 });
  }

  /** Told with the next ask, or soon. */
  reportEvent(event: PlacementEvent): void {
    if (this.isLost) return;
    this.events.push(toPlaceEvent(event));
    const isUrgent = event.kind === "read";
    if (this.eventTimer !== undefined && (this.isUrgent || !isUrgent)) return;
    clearTimeout(this.eventTimer);
    this.isUrgent = isUrgent;
    const waitMs = isUrgent ? READS_MS : EVENTS_MS;
    this.eventTimer = setTimeout(() => this.send({}), waitMs);
  }

  /** Tells the holder of a grant that is in use already. */
  reportHeldGrant(ask: PlacementAsk, grant: Grant, isRead: boolean): void {
    const { reader = "", runner } = grant;
    this.send({ held: { ask: toPlaceAsk(ask), reader, runner, isRead } });
  }

  /**
   * Asks for the newest configuration by one that holds revision `known`.
   * What the answer proves counts from when the question was sent.
   */
  requestConfig(known: number): void {
    if (this.isLost || !this.isReady) return;
    const number = this.configAsk.number + 1;
    this.configAsk = { number, sentAt: this.options.leaseNow() };
    this.send({ configAsk: { number, known } });
  }

  /** The holder's word on one send; undefined if it can't be had. */
  requestPermit(replica: string): Promise<PermitAnswer | undefined> {
    if (this.isLost || !this.isReady) return Promise.resolve(undefined);
    const { number, answer } = this.permitAsks.open();
    this.send({ permitAsk: { number, replica } });
    return answer;
  }

  /** Tells what replicas have come to say of the rate they take. */
  sendRates(news: readonly RateNews[]): void {
    if (news.length > 0) this.send({ rates: news.map(toRateNews) });
  }

  /** Tells what this process has counted. */
  sendUsage(process: string, windows: readonly WindowCounts[]): void {
    if (this.isLost || windows.length === 0) return;
    const usage = windows.map((window) => toUsageWindow(process, window));
    this.send({ usage });
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
      configAsk: undefined,
      usage: [],
      rates: [],
      permitAsk: undefined,
      ...call,
    });
  }

  private onReply(reply: PlaceReply): void {
    const { id, entries, isFresh, standbyRank, readPace } = reply;
    this.silentSince = undefined;
    const { leaseEpoch, leaseBeat } = reply;
    const lease = { leaseEpoch, leaseBeat };
    this.options.onState({
      entries,
      isFresh,
      standbyRank,
      readPace,
      ...lease,
    });
    this.watchBeats(standbyRank);
    if (reply.config !== undefined) this.onConfig(reply.config);
    if (reply.rates.length > 0) {
      const told = reply.rates.map(fromRateNews);
      this.options.onRates(told.filter((news) => news !== undefined));
    }
    if (reply.permit !== undefined) this.permitAsks.resolveReply(reply.permit);
    if (reply.isQueued) return this.onQueued(id);
    const waiting = this.take(id);
    if (waiting !== undefined) {
      const sinceAskMs = this.options.now() - waiting.askedAt;
      return waiting.resolve(fromPlaceReply(reply, sinceAskMs));
    }
    // Too late: the request was placed here, so the grant is given back.
    if (reply.runner === "") return;
    this.reportEvent({ kind: "ended", id, ok: true, firstEventMs: 0 });
  }

  /** Answers to earlier questions than the last prove no more. */
  private onConfig(answer: ConfigAnswer): void {
    const { number, sentAt } = this.configAsk;
    if (answer.number !== number) return;
    try {
      this.options.onConfig(fromConfigAnswer(answer), sentAt);
    } catch (err) {
      const { service, address, log } = this.options;
      const why = errText(err);
      log.warn("configuration of the holder not read", {
        service,
        address,
        why,
      });
    }
  }

  /** The first standbys hear from the holder all the time. */
  private watchBeats(standbyRank: number): void {
    clearTimeout(this.beatTimer);
    if (!this.options.isStandby || standbyRank >= CONCURRENT_STANDBYS) return;
    // After a pause of this process the next one may be there, unread.
    const onSilence = () => setImmediate(() => this.loseAfter(heard));
    this.beats += 1;
    const heard = this.beats;
    this.beatTimer = setTimeout(onSilence, BEATS_LOST_MS);
  }

  private loseAfter(heard: number): void {
    if (this.beats === heard) this.lose("the holder says nothing");
  }

  private onQueued(id: string): void {
    const waiting = this.waiting.get(id);
    // Placed here meanwhile: it must not wait there any longer.
    if (waiting === undefined)
      return this.reportEvent({ kind: "ended", id, ok: true, firstEventMs: 0 });
    clearTimeout(waiting.timer);
    waiting.isQueued = true;
    this.queuedCount += 1;
  }

  /** Ends the wait for an answer. */
  private take(id: string): Waiting | undefined {
    const waiting = this.waiting.get(id);
    if (waiting === undefined) return undefined;
    this.waiting.delete(id);
    clearTimeout(waiting.timer);
    if (waiting.isQueued) this.queuedCount -= 1;
    return waiting;
  }

  private onUnanswered(id: string): void {
    const waiting = this.waiting.get(id);
    if (waiting === undefined || waiting.isQueued) return;
    this.take(id)?.resolve(undefined);
    const { now } = this.options;
    const silentMs = now() - (this.silentSince ?? now());
    if (silentMs >= LOST_MS) this.lose("asks are not answered");
  }

  private lose(why: string): void {
    if (this.isLost) return;
    this.isLost = true;
    clearTimeout(this.connectTimer);
    clearTimeout(this.eventTimer);
    clearTimeout(this.beatTimer);
    for (const { resolve, timer } of this.waiting.values()) {
      clearTimeout(timer);
      resolve(undefined);
    }
    this.waiting.clear();
    this.permitAsks.close();
    this.stream.cancel();
    this.client.close();
    this.options.onDisconnected(why);
  }
}
