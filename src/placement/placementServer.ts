/** Places requests of other gateways while this process holds the lease. */
import { Metadata, Server, ServerCredentials } from "@grpc/grpc-js";

import { SchedulingService } from "../gen/snowgate.js";
import type { ConfigAsk, PlaceCall } from "../gen/snowgate.js";
import { splitAddress } from "../http/index.js";
import type { Grant } from "../scheduling/index.js";
import type { PermitAnswer, RateNews } from "../rateLimits/index.js";
import type { SeenRevision } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import type { LeaseVersion, NewHolder } from "./leaseKeeper.js";
import type { LocalPlacement } from "./localPlacement.js";
import {
  fromPlaceAsk,
  fromPlaceEvent,
  emptyToUndefined,
  toConfigAnswer,
  toPlaceReply,
} from "./messages.js";
import type { HolderState } from "./messages.js";
import { fromRateNews, toPermitReply } from "./rateMessages.js";
import { ERROR_REFUSAL, HolderAsks } from "./holderAsks.js";
import { HolderReplies } from "./holderReplies.js";
import type { PlaceStream } from "./holderReplies.js";
import { fromFlowRefusals } from "./shareMessages.js";
import { SHARES_CHECK_INTERVAL_MS } from "./sharePublisher.js";
import type { ConfigNews, WindowCounts } from "../workspaces/index.js";

/** Keepalive pings that detect dead peers, ms; see `placementClient.ts`. */
export const KEEPALIVE_OPTIONS = {
  "grpc.keepalive_time_ms": 1000,
  "grpc.keepalive_timeout_ms": 800,
  // Retries are off: a retryable stream would keep copies of all its messages.
  "grpc.enable_retries": 0,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.http2.min_ping_interval_without_data_ms": 500,
} as const;

/**
 * Standbys that try to take over a lost lease at once. As many more follow
 * after each interval, so that a large fleet does not query the store all at
 * once.
 */
export const CONCURRENT_STANDBYS = 3;

/**
 * Entries of a fleet in which all are told of each other's streams. The traffic
 * for it grows with the square of the fleet.
 */
const MAX_TOLD_ENTRIES = 8;

/** Standbys of one service in order of connection, with the state last sent. */
type Standbys = Map<PlaceStream, HolderState | undefined>;

export interface PlacementServerOptions {
  placement: LocalPlacement;
  /** Whether this process also places requests of its own. */
  isEntry: boolean;
  /** Whether this process holds the lease of a service. */
  isHolder(service: string): boolean;
  /** Whether that lease was renewed recently. */
  isFresh(service: string): boolean;
  /** That lease's version as this process last wrote it. */
  leaseVersion(service: string): LeaseVersion | undefined;
  /** The newest configuration for a process that holds revision `known`. */
  configUpdate(known: number): ConfigNews | undefined;
  /** The last changes in the store that this process has seen; absent: none. */
  seen?(): readonly SeenRevision[];
  /** An engine has announced to another process that it is leaving. */
  onEngineLeaving(engine: string): void;
  /** Another process has taken the lease of a service, as an entry reports. */
  onNewHolder(service: string, news: NewHolder): void;
  /** Usage counted by another process. */
  onUsage(process: string, window: WindowCounts): void;
  /** Rate limits of replicas that are in force. */
  rates(): RateNews[];
  /** A replica has reported its rate limit to another process. */
  onRate(news: RateNews): void;
  /** Acquires a permit for another process to send one request to a replica. */
  acquirePermit(replica: string): PermitAnswer;
  log: Log;
}

export class PlacementServer {
  private readonly server = new Server(KEEPALIVE_OPTIONS);
  /** Open streams of entries, by service. */
  private readonly streams = new Map<string, Set<PlaceStream>>();
  /** Standbys and the state last sent to each, by service. */
  private readonly standbys = new Map<string, Standbys>();
  private readonly replies: HolderReplies;
  private readonly asks: HolderAsks;
  private readonly sharesTimer: NodeJS.Timeout;

  constructor(private readonly options: PlacementServerOptions) {
    this.server.addService(SchedulingService, {
      place: (stream: PlaceStream) => this.serve(stream),
    });
    this.replies = new HolderReplies({
      ...options,
      entryCount: (service) => this.entryCount(service),
    });
    this.asks = new HolderAsks(options.placement, this.replies, options.log);
    const publish = () => this.replies.publishShares();
    this.sharesTimer = setInterval(publish, SHARES_CHECK_INTERVAL_MS);
    this.sharesTimer.unref();
  }

  /** Resolves with the address in use. */
  listen(address: string): Promise<string> {
    const { host } = splitAddress(address);
    return new Promise((resolve, reject) => {
      const insecure = ServerCredentials.createInsecure();
      this.server.bindAsync(address, insecure, (err, port) => {
        if (err !== null) reject(err);
        else resolve(`${host}:${port}`);
      });
    });
  }

  /** Entries that place through this process, including itself. */
  entryCount(service: string): number {
    const others = this.streams.get(service)?.size ?? 0;
    return others + (this.options.isEntry ? 1 : 0);
  }

  /**
   * Sends the holder's state to the first standbys each time, and to the others
   * when it has changed. Standbys send no requests, so otherwise they would
   * notice a lost holder only seconds later, from the closed connection.
   */
  notifyStandbys(service: string): void {
    const standbys = this.standbys.get(service) ?? new Map();
    let standbyRank = 0;
    for (const [stream, told] of standbys) {
      const state = this.replies.state(service, stream, standbyRank);
      const rates = this.replies.rateUpdates(stream);
      const isNews =
        standbyRank < CONCURRENT_STANDBYS ||
        told?.isFresh !== state.isFresh ||
        told.standbyRank !== standbyRank ||
        state.readPace !== undefined ||
        rates.length > 0;
      if (isNews) {
        standbys.set(stream, state);
        stream.write({ ...toPlaceReply("", undefined, state), rates });
      }
      standbyRank += 1;
    }
  }

  /**
   * Sends the first standbys which versions began streams, and in small fleets
   * the entries too: if the holder and the entry of a stream are lost at once,
   * nobody else knows.
   */
  notifyOfOrigins(service: string): void {
    const standbys = [...(this.standbys.get(service)?.keys() ?? [])];
    const entries = [...(this.streams.get(service) ?? [])];
    const receivers = [
      ...standbys.slice(0, CONCURRENT_STANDBYS),
      ...(entries.length <= MAX_TOLD_ENTRIES ? entries : []),
    ];
    const sent = this.replies.sendOrigins(service, receivers);
    if (sent === 0) return;
    const fields = { service, receivers: receivers.length, origins: sent };
    this.options.log.debug("origins of streams sent", fields);
  }

  /**
   * Sends rate limits of replicas to entries: an entry that doesn't know a
   * limit would keep sending and use capacity that others are held back for.
   */
  notifyEntriesOfRates(service: string): void {
    for (const stream of this.streams.get(service) ?? []) {
      const rates = this.replies.rateUpdates(stream);
      if (rates.length === 0) continue;
      this.replies.send(service, stream, "", undefined, { rates });
    }
  }

  /** Sends entries the store positions that this process has seen. */
  notifyEntriesOfRevisions(service: string): void {
    const seenHere = this.replies.revisions(service);
    if (seenHere.length === 0) return;
    for (const stream of this.streams.get(service) ?? []) {
      const seen = this.replies.revisionUpdates(stream, seenHere);
      if (seen.length === 0) continue;
      this.replies.send(service, stream, "", undefined, { seen });
    }
  }

  /**
   * Sends all processes connected for a service the address of the new holder:
   * those that cannot reach the store have no other source for it.
   */
  notifyNewHolder(service: string, newHolder: NewHolder): void {
    const entries = this.streams.get(service) ?? [];
    const standbys = this.standbys.get(service)?.keys() ?? [];
    for (const stream of [...entries, ...standbys])
      this.replies.send(service, stream, "", undefined, { newHolder });
  }

  close(): void {
    clearInterval(this.sharesTimer);
    this.asks.close();
    this.server.forceShutdown();
  }

  private serve(stream: PlaceStream): void {
    let service: string | undefined;
    stream.on("data", (call: PlaceCall) => {
      if (!this.options.isHolder(call.service)) return void stream.end();
      if (service === undefined) {
        service = call.service;
        // Tells the client that its requests will be read.
        stream.sendMetadata(new Metadata());
        this.register(service, stream, call.isStandby);
      }
      this.take(stream, call);
    });
    const leave = () => {
      if (service === undefined) return;
      this.asks.leave(service, stream);
      this.streams.get(service)?.delete(stream);
      this.standbys.get(service)?.delete(stream);
      this.replies.remove(service, stream);
    };
    stream.on("end", () => {
      leave();
      stream.end();
    });
    stream.on("close", leave);
    stream.on("cancelled", leave);
    stream.on("error", (err) => {
      leave();
      this.options.log.info("placement stream lost", { why: err.message });
    });
  }

  /**
   * Handles errors per call: an error thrown here would end the stream with
   * all other placement requests, here and at the next holder.
   */
  private take(stream: PlaceStream, call: PlaceCall): void {
    const { service, ask, held } = call;
    try {
      this.onCall(stream, call);
    } catch (err) {
      this.asks.logError(service, ask?.id ?? held?.ask?.id, err);
      if (ask !== undefined)
        this.replies.send(service, stream, ask.id, ERROR_REFUSAL);
    }
  }

  private register(
    service: string,
    stream: PlaceStream,
    isStandby: boolean,
  ): void {
    if (isStandby) {
      const standbys: Standbys = this.standbys.get(service) ?? new Map();
      standbys.set(stream, undefined);
      this.standbys.set(service, standbys);
      return;
    }
    const streams = this.streams.get(service) ?? new Set();
    streams.add(stream);
    this.streams.set(service, streams);
  }

  private onCall(stream: PlaceStream, call: PlaceCall): void {
    const { placement } = this.options;
    const { service, ask, held, configAsk } = call;
    for (const { process, seq, counts } of call.usage) {
      this.options.onUsage(process, { seq, counts });
    }
    if (configAsk !== undefined) this.sendConfig(service, stream, configAsk);
    if (call.newHolder !== undefined)
      this.options.onNewHolder(service, call.newHolder);
    if (call.origins.length > 0)
      placement.streams.adoptFromEntry(service, call.origins);
    for (const received of call.rates) {
      const news = fromRateNews(received);
      if (news !== undefined) this.options.onRate(news);
    }
    if (call.permitAsk !== undefined) {
      const { number, replica } = call.permitAsk;
      const permit = toPermitReply(number, this.options.acquirePermit(replica));
      this.replies.send(service, stream, "", undefined, { permit });
    }
    for (const received of call.events) {
      const event = fromPlaceEvent(received);
      if (event === undefined) continue;
      if (event.kind === "leaving") this.options.onEngineLeaving(event.engine);
      placement.reportEvent(service, event);
      if (event.kind === "ended") this.asks.onEnded(stream, event.id);
    }
    if (held?.ask !== undefined) {
      const { reader, runner, isRead } = held;
      this.asks.addOpen(stream, held.ask.id);
      const grant: Grant = {
        kind: "granted",
        reader: emptyToUndefined(reader),
        runner,
        donor: undefined,
        readMs: 0,
        waitedMs: 0,
        ageMs: 0,
      };
      placement.adopt(fromPlaceAsk(service, held.ask), grant, isRead);
    }
    for (const refused of call.refused)
      placement.recordRefused(service, fromFlowRefusals(refused));
    if (ask !== undefined || call.refused.length > 0)
      this.replies.recordAsk(service, stream);
    if (ask !== undefined) this.asks.add({ service, stream, ask });
  }

  /**
   * Sends the configuration; nothing is sent while its freshness is not proven.
   */
  private sendConfig(
    service: string,
    stream: PlaceStream,
    { number, known }: ConfigAsk,
  ): void {
    const news = this.options.configUpdate(known);
    if (news === undefined) return;
    const config = toConfigAnswer(number, news);
    this.replies.send(service, stream, "", undefined, { config });
  }
}
