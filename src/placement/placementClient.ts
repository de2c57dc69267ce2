/** Stream of one service to the gateway that holds its lease. */
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
  FlowRefusals,
  FlowShare,
  Grant,
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
} from "../scheduling/index.js";
import type { PermitAnswer, RateNews } from "../rateLimits/index.js";
import type { HolderNews } from "../store/index.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import type { ConfigNews, WindowCounts } from "../workspaces/index.js";
import {
  fromConfigAnswer,
  originBatches,
  fromPlaceReply,
  toPlaceAsk,
  toPlaceEvent,
  toUsageWindow,
} from "./messages.js";
import type { HolderState } from "./messages.js";
import type { NewHolder } from "./leaseKeeper.js";
import { PendingAsks } from "./pendingAsks.js";
import { PendingPermitRequests } from "./pendingPermitRequests.js";
import { fromRateNews, toRateNews } from "./rateMessages.js";
import { fromFlowShareNews, toFlowRefusals } from "./shareMessages.js";
import type { StreamOrigin } from "./streamOrigins.js";
import { KEEPALIVE_OPTIONS, CONCURRENT_STANDBYS } from "./placementServer.js";

/**
 * How long a prefill end is held to be batched with a request or other events,
 * ms. The holder assigns the next prefills after it.
 */
const PREFILL_EVENT_DELAY_MS = 6;
/** The same for all other events, which free capacity, ms. */
const EVENT_DELAY_MS = 30;
/** Longest delay of counts of refused requests, ms; the holder's demand lags by it. */
const REFUSED_DELAY_MS = 100;
/** Time for the last message to leave before a stream is cancelled, ms. */
const FLUSH_MS = 200;
/** Timeout for the holder to accept the stream, ms. */
const CONNECT_TIMEOUT_MS = 1000;
/** A holder that has answered nothing for this long counts as lost, ms. */
const HOLDER_TIMEOUT_MS = 400;

/**
 * A standby gets the holder's state every 300 ms and counts the holder as lost
 * after this silence, ms: two states in a row may be late.
 */
const STANDBY_TIMEOUT_MS = 900;

export interface PlacementClientOptions {
  service: string;
  address: string;
  /** A standby sends no requests and only waits for the holder to fail. */
  isStandby: boolean;
  /** The holder has accepted the stream and reads what is sent from now on. */
  onAccepted(): void;
  /** The stream ended; the client can't be used any more. */
  onDisconnected(why: string): void;
  onState(state: HolderState): void;
  /** What the holder has seen of the store. */
  onHolderNews?(news: HolderNews): void;
  /**
   * Like `now`, but includes machine suspensions; the age of configuration
   * proofs counts from it.
   */
  leaseNow: () => number;
  /** The holder's answer to a configuration request sent at `sentAt`. */
  onConfig(news: ConfigNews, sentAt: number): void;
  /** Rate limits that replicas have reported to other processes. */
  onRates(news: readonly RateNews[]): void;
  /** Which software versions began streams, as the holder knows. */
  onOrigins(origins: readonly StreamOrigin[]): void;
  /** A newer set of shares from the holder; empty: no limits. */
  onShares(shares: readonly FlowShare[]): void;
  /** Counts of requests refused by their share since the last call. */
  takeRefused(): FlowRefusals[];
  /** Another process has taken the lease, as the former holder reports. */
  onNewHolder(news: NewHolder): void;
  /** An ask was answered or queued in time, or not. */
  onAnswerTime(isInTime: boolean): void;
  /** Name of this process. */
  self: string;
  log: Log;
  now: () => number;
}

export class PlacementClient {
  private readonly client: SchedulingClient;
  private readonly stream: ClientDuplexStream<PlaceCall, PlaceReply>;
  private readonly asks = new PendingAsks((id) => this.onUnanswered(id));
  private readonly permitRequests = new PendingPermitRequests();
  private events: PlaceEvent[] = [];
  private eventTimer: NodeJS.Timeout | undefined;
  /** Whether the pending events include a prefill end and are sent sooner. */
  private isUrgent = false;
  /** When the first request since the last reply was sent, ms. */
  private silentSince: number | undefined;
  /** The last configuration request, and when it was sent, ms. */
  private configRequest = { number: 0, sentAt: 0 };
  /** Number of holder states that this standby has received. */
  private statesReceived = 0;
  private stateTimer: NodeJS.Timeout | undefined;
  private isLost = false;
  /** Whether the holder has accepted the stream. */
  private isReady = false;
  private readonly connectTimer: NodeJS.Timeout;
  private refusedTimer: NodeJS.Timeout | undefined;
  /** Revision of the newest set of shares received. */
  private sharesRevision = 0;

  constructor(private readonly options: PlacementClientOptions) {
    const insecure = credentials.createInsecure();
    this.client = new SchedulingClient(
      options.address,
      insecure,
      KEEPALIVE_OPTIONS,
    );
    this.stream = this.client.place();
    this.stream.on("metadata", () => {
      if (this.isLost) return;
      this.isReady = true;
      clearTimeout(this.connectTimer);
      options.onAccepted();
    });
    this.stream.on("data", (reply: PlaceReply) => {
      // A stream that is being flushed still delivers the former holder's state.
      if (!this.isLost) this.onReply(reply);
    });
    this.stream.on("end", () => this.disconnect("the holder ended the stream"));
    this.stream.on("error", (err) => this.disconnect(err.message));
    const giveUp = () =>
      this.disconnect("the holder did not accept the stream in time");
    this.connectTimer = setTimeout(giveUp, CONNECT_TIMEOUT_MS);
    // Registers this entry with the holder before its first request.
    this.send({ entryId: options.self });
  }

  get address(): string {
    return this.options.address;
  }

  /** Number of requests that the holder has neither answered nor queued yet. */
  get unacknowledgedCount(): number {
    return this.asks.unacknowledgedCount;
  }

  /** The holder's answer; undefined if there is none. */
  place(request: PlacementRequest): Promise<PlacementAnswer | undefined> {
    if (this.isLost || !this.isReady) return Promise.resolve(undefined);
    const requestedAt = this.options.now();
    const answer = this.asks.open(request.id, requestedAt);
    this.silentSince ??= requestedAt;
    this.send({ ask: toPlaceAsk(request) });
    return answer;
  }

  /** Cancels a request; it is not answered any more. */
  cancel(id: string): void {
    if (this.asks.take(id) !== undefined) this.reportUnused(id);
  }

  /** The entry uses no grant that the holder gives or has given by this id. */
  reportUnused(id: string): void {
    this.reportEvent({ kind: "ended", id, ok: true, firstEventMs: 0 });
  }

  /** Queues an event to be sent with the next request, or soon. */
  reportEvent(event: PlacementEvent): void {
    if (this.isLost) return;
    this.events.push(toPlaceEvent(event));
    const isUrgent = event.kind === "read";
    if (this.eventTimer !== undefined && (this.isUrgent || !isUrgent)) return;
    clearTimeout(this.eventTimer);
    this.isUrgent = isUrgent;
    const waitMs = isUrgent ? PREFILL_EVENT_DELAY_MS : EVENT_DELAY_MS;
    this.eventTimer = setTimeout(() => this.send({}), waitMs);
  }

  /** A request was refused by its share; its count is sent soon. */
  reportRefused(): void {
    if (this.isLost) return;
    this.refusedTimer ??= setTimeout(() => this.send({}), REFUSED_DELAY_MS);
  }

  /** Reports a grant that is already in use to the holder. */
  reportHeldGrant(
    request: PlacementRequest,
    grant: Grant,
    isRead: boolean,
  ): void {
    const { reader = "", runner } = grant;
    this.send({ held: { ask: toPlaceAsk(request), reader, runner, isRead } });
  }

  /**
   * Requests the newest configuration; `known` is the revision held here. The
   * proof in the answer counts from when the request was sent.
   */
  requestConfig(known: number): void {
    if (this.isLost || !this.isReady) return;
    const number = this.configRequest.number + 1;
    this.configRequest = { number, sentAt: this.options.leaseNow() };
    this.send({ configAsk: { number, known } });
  }

  /**
   * Asks the holder for a permit for one request; undefined if there is no
   * answer.
   */
  requestPermit(replica: string): Promise<PermitAnswer | undefined> {
    if (this.isLost || !this.isReady) return Promise.resolve(undefined);
    const { number, answer } = this.permitRequests.open();
    this.send({ permitAsk: { number, replica } });
    return answer;
  }

  /** Reports changed rate limits of replicas. */
  sendRates(news: readonly RateNews[]): void {
    if (news.length > 0) this.send({ rates: news.map(toRateNews) });
  }

  /** Reports which software versions began the streams of this process. */
  sendOrigins(origins: readonly StreamOrigin[]): void {
    for (const batch of originBatches(origins)) this.send({ origins: batch });
  }

  /** Reports the usage counted by this process. */
  sendUsage(process: string, windows: readonly WindowCounts[]): void {
    if (this.isLost || windows.length === 0) return;
    const usage = windows.map((window) => toUsageWindow(process, window));
    this.send({ usage });
  }

  close(): void {
    this.disconnect("closed");
  }

  /** Tells the process at the other end who holds the lease now, and closes. */
  closeWithNews(newHolder: NewHolder): void {
    this.send({ newHolder });
    this.disconnect("another process holds the lease", FLUSH_MS);
  }

  private send(call: Partial<PlaceCall>): void {
    if (this.isLost) return;
    const { service } = this.options;
    const { events } = this;
    this.events = [];
    clearTimeout(this.eventTimer);
    this.eventTimer = undefined;
    clearTimeout(this.refusedTimer);
    this.refusedTimer = undefined;
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
      refused: this.options.takeRefused().map(toFlowRefusals),
      entryId: "",
      newHolder: undefined,
      origins: [],
      ...call,
    });
  }

  private onReply(reply: PlaceReply): void {
    const { id, entries, isFresh, standbyRank, readPace, seen } = reply;
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
    if (reply.newHolder !== undefined)
      this.options.onNewHolder(reply.newHolder);
    if (seen.length > 0)
      this.options.onHolderNews?.({ isFresh, entries, seen });
    this.watchHolderState(standbyRank);
    if (reply.config !== undefined) this.onConfig(reply.config);
    if (reply.rates.length > 0) {
      const received = reply.rates.map(fromRateNews);
      this.options.onRates(received.filter((news) => news !== undefined));
    }
    if (reply.sharesRevision > this.sharesRevision) {
      this.sharesRevision = reply.sharesRevision;
      const shares = reply.shares.map(fromFlowShareNews);
      this.options.onShares(shares.filter((share) => share !== undefined));
    }
    if (reply.origins.length > 0) this.options.onOrigins(reply.origins);
    if (reply.permit !== undefined)
      this.permitRequests.resolveReply(reply.permit);
    if (reply.isQueued) {
      if (this.asks.markQueued(id)) this.options.onAnswerTime(true);
      return;
    }
    // Requests that are not waited for any more have been reported as unused.
    const ask = this.asks.take(id);
    if (ask === undefined) return;
    if (!ask.isQueued) this.options.onAnswerTime(true);
    const sinceRequestMs = this.options.now() - ask.requestedAt;
    ask.resolve(fromPlaceReply(reply, sinceRequestMs));
  }

  /**
   * Accepts only the answer to the last request; earlier ones prove no more.
   */
  private onConfig(answer: ConfigAnswer): void {
    const { number, sentAt } = this.configRequest;
    if (answer.number !== number) return;
    try {
      this.options.onConfig(fromConfigAnswer(answer), sentAt);
    } catch (err) {
      const { service, address, log } = this.options;
      const why = errText(err);
      log.warn("configuration from the holder can't be parsed", {
        service,
        address,
        why,
      });
    }
  }

  /**
   * Detects a lost holder by its silence; only the first standbys get its state
   * at regular intervals.
   */
  private watchHolderState(standbyRank: number): void {
    clearTimeout(this.stateTimer);
    if (!this.options.isStandby || standbyRank >= CONCURRENT_STANDBYS) return;
    // After a stall of this process the next state may already be buffered.
    const onSilence = () =>
      setImmediate(() => this.disconnectIfSilent(statesBefore));
    this.statesReceived += 1;
    const statesBefore = this.statesReceived;
    this.stateTimer = setTimeout(onSilence, STANDBY_TIMEOUT_MS);
  }

  private disconnectIfSilent(statesBefore: number): void {
    if (this.statesReceived === statesBefore)
      this.disconnect("no state received from the holder");
  }

  /**
   * Reports to the holder at once, before a grant given locally under the same
   * id: it must not count both, and skips an ask that it has not handled yet.
   */
  private onUnanswered(id: string): void {
    this.options.onAnswerTime(false);
    this.reportUnused(id);
    const { now } = this.options;
    const silentMs = now() - (this.silentSince ?? now());
    if (silentMs >= HOLDER_TIMEOUT_MS) this.disconnect("asks are not answered");
  }

  /** `flushMs`: how long what was sent last may take to leave. */
  private disconnect(why: string, flushMs = 0): void {
    if (this.isLost) return;
    this.isLost = true;
    clearTimeout(this.connectTimer);
    clearTimeout(this.eventTimer);
    clearTimeout(this.refusedTimer);
    clearTimeout(this.stateTimer);
    this.asks.close();
    this.permitRequests.close();
    const end = () => {
      this.stream.cancel();
      this.client.close();
    };
    if (flushMs > 0) setTimeout(end, flushMs).unref();
    else end();
    this.options.onDisconnected(why);
  }
}
