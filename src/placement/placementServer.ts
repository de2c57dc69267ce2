/** Places requests of other gateways while this process holds the lease. */
import { Metadata, Server, ServerCredentials } from "@grpc/grpc-js";
import type { ServerDuplexStream } from "@grpc/grpc-js";

import { SchedulingService } from "../gen/snowgate.js";
import type { PlaceCall, PlaceReply } from "../gen/snowgate.js";
import { splitAddress } from "../http/index.js";
import type { Log } from "../telemetry/index.js";
import type { LocalPlacement } from "./localPlacement.js";
import {
  fromPlaceAsk,
  fromPlaceEvent,
  nameIn,
  toPlaceReply,
} from "./messages.js";
import type { HolderState } from "./messages.js";

/** Pings that find dead peers, ms; see `placementClient.ts`. */
export const KEEPALIVE_OPTIONS = {
  "grpc.keepalive_time_ms": 1000,
  "grpc.keepalive_timeout_ms": 800,
  // A stream is never retried: it would hold copies of all its messages.
  "grpc.enable_retries": 0,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.http2.min_ping_interval_without_data_ms": 500,
} as const;

type PlaceStream = ServerDuplexStream<PlaceCall, PlaceReply>;

/** Standbys of one service, in the order in which they came. */
type Standbys = Map<PlaceStream, HolderState | undefined>;

export interface PlacementServerOptions {
  placement: LocalPlacement;
  /** Whether this process places requests of its own besides. */
  isEntry: boolean;
  /** Whether this process holds the lease of a service. */
  isHolder(service: string): boolean;
  /** Whether that lease was renewed lately. */
  isFresh(service: string): boolean;
  log: Log;
}

export class PlacementServer {
  private readonly server = new Server(KEEPALIVE_OPTIONS);
  /** Open streams, by service. */
  private readonly streams = new Map<string, Set<PlaceStream>>();
  /** Standbys and what they were told last, by service. */
  private readonly standbys = new Map<string, Standbys>();

  constructor(private readonly options: PlacementServerOptions) {
    this.server.addService(SchedulingService, {
      place: (stream: PlaceStream) => this.serve(stream),
    });
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

  /** Entries that place through this process, itself included. */
  entries(service: string): number {
    const others = this.streams.get(service)?.size ?? 0;
    return others + (this.options.isEntry ? 1 : 0);
  }

  /**
   * Tells standbys what has changed since they were told last. They ask for
   * nothing, so they learn only by this that the holder has lost its lease.
   */
  tellStandbys(service: string): void {
    const standbys = this.standbys.get(service) ?? new Map();
    const { isFresh, entries } = this.state(service);
    let standbyRank = 0;
    for (const [stream, told] of standbys) {
      const isNews =
        told?.isFresh !== isFresh || told.standbyRank !== standbyRank;
      const state = { isFresh, entries, standbyRank };
      if (isNews) {
        standbys.set(stream, state);
        stream.write(toPlaceReply("", undefined, state));
      }
      standbyRank += 1;
    }
  }

  close(): void {
    this.server.forceShutdown();
  }

  private serve(stream: PlaceStream): void {
    let service: string | undefined;
    stream.on("data", (call: PlaceCall) => {
      if (!this.options.isHolder(call.service)) return void stream.end();
      if (service === undefined) {
        service = call.service;
        // Tells the other side that its asks will be read.
        stream.sendMetadata(new Metadata());
        this.register(service, stream, call.isStandby);
      }
      this.onCall(stream, call);
    });
    const leave = () => {
      if (service === undefined) return;
      this.streams.get(service)?.delete(stream);
      this.standbys.get(service)?.delete(stream);
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
    const known = this.streams.get(service) ?? new Set();
    known.add(stream);
    this.streams.set(service, known);
  }

  private onCall(stream: PlaceStream, call: PlaceCall): void {
    const { placement } = this.options;
    const { service, ask, held } = call;
    for (const told of call.events) {
      const event = fromPlaceEvent(told);
      if (event !== undefined) placement.note(service, event);
    }
    if (held?.ask !== undefined) {
      const { reader, runner } = held;
      placement.adopt(fromPlaceAsk(service, held.ask), {
        kind: "granted",
        reader: nameIn(reader),
        runner,
        donor: undefined,
        readMs: 0,
      });
    }
    if (ask !== undefined) {
      const answer = placement.placeNow(fromPlaceAsk(service, ask));
      stream.write(toPlaceReply(ask.id, answer, this.state(service)));
    }
  }

  private state(service: string): HolderState {
    return {
      entries: this.entries(service),
      isFresh: this.options.isFresh(service),
      standbyRank: 0,
    };
  }
}
