/** gRPC server and client for calls between the processes of the fleet. */
import {
  credentials,
  Metadata,
  Server,
  ServerCredentials,
  status,
} from "@grpc/grpc-js";
import type {
  ChannelCredentials,
  sendUnaryData,
  ServerUnaryCall,
  ServiceError,
} from "@grpc/grpc-js";
import { LRUCache } from "lru-cache";

import {
  PeerClient,
  PeerService,
  SideClient,
  SideService,
} from "../gen/snowgate.js";
import type {
  Digest,
  FetchConfigReply,
  FetchConfigRequest,
  FetchMembersReply,
  FetchMembersRequest,
  NudgeReply,
  NudgeRequest,
  ReportReply,
  ReportRequest,
} from "../gen/snowgate.js";
import { splitAddress } from "../http/index.js";
import { HEADERS } from "../shared/constants.js";
import { SnowgateError } from "../shared/errors.js";
import { isSameSecret } from "../shared/utils.js";

const CALL_TIMEOUT_MS = 1000;
const MAX_CLIENTS = 64;

/** Handlers of the calls that every process accepts from peers. */
export interface PeerHandlers {
  exchange(digest: Digest): Digest;
  fetchConfig(request: FetchConfigRequest): FetchConfigReply;
  fetchMembers(): FetchMembersReply;
}

/** Handlers of the additional calls that a side accepts. */
export interface SideHandlers {
  nudge(request: NudgeRequest): NudgeReply;
  report(): ReportReply;
}

type Handler<Req, Res> = (request: Req) => Res;

/** gRPC server for calls from peers. */
export class PeerServer {
  private readonly server = new Server();
  private peer: PeerHandlers | undefined;
  private side: SideHandlers | undefined;

  constructor(private readonly secret: string) {
    this.server.addService(PeerService, {
      exchange: this.authenticated<Digest, Digest>(
        () => this.peer && ((digest) => this.peer!.exchange(digest)),
      ),
      fetchConfig: this.authenticated<FetchConfigRequest, FetchConfigReply>(
        () => this.peer && ((request) => this.peer!.fetchConfig(request)),
      ),
      fetchMembers: this.authenticated<FetchMembersRequest, FetchMembersReply>(
        () => this.peer && (() => this.peer!.fetchMembers()),
      ),
    });
    this.server.addService(SideService, {
      nudge: this.authenticated<NudgeRequest, NudgeReply>(
        () => this.side && ((request) => this.side!.nudge(request)),
      ),
      report: this.authenticated<ReportRequest, ReportReply>(
        () => this.side && (() => this.side!.report()),
      ),
    });
  }

  /** Sets the handlers; until then, calls fail with UNAVAILABLE. */
  setHandlers(peer: PeerHandlers, side?: SideHandlers): void {
    this.peer = peer;
    this.side = side;
  }

  /** Rejects calls without the fleet's secret with UNAUTHENTICATED. */
  private authenticated<Req, Res>(find: () => Handler<Req, Res> | undefined) {
    return (
      call: ServerUnaryCall<Req, Res>,
      callback: sendUnaryData<Res>,
    ): void => {
      const [callerSecret] = call.metadata.get(HEADERS.auth);
      if (!isSameSecret(String(callerSecret ?? ""), this.secret)) {
        const details = "not a process of this fleet";
        return callback({ code: status.UNAUTHENTICATED, details });
      }
      const handle = find();
      if (handle === undefined) {
        return callback({ code: status.UNAVAILABLE, details: "starting" });
      }
      callback(null, handle(call.request));
    };
  }

  /** Resolves with the address in use, as "IP:port". */
  listen(address: string): Promise<string> {
    const { host } = splitAddress(address);
    return new Promise((resolve, reject) => {
      const insecure = ServerCredentials.createInsecure();
      this.server.bindAsync(address, insecure, (err, port) => {
        if (err !== null) return reject(err);
        resolve(`${host}:${port}`);
      });
    });
  }

  close(): void {
    this.server.forceShutdown();
  }
}

type Unary<Req, Res> = (
  request: Req,
  metadata: Metadata,
  options: { deadline: number },
  callback: (err: ServiceError | null, reply: Res) => void,
) => unknown;

const CHANNEL_OPTIONS = {
  "grpc.initial_reconnect_backoff_ms": 200,
  "grpc.max_reconnect_backoff_ms": 2000,
} as const;

/** Returns the cached client for an address, or creates one. */
const clientFor = <T extends object>(
  clients: LRUCache<string, T>,
  address: string,
  Client: new (
    address: string,
    credentials: ChannelCredentials,
    options: typeof CHANNEL_OPTIONS,
  ) => T,
): T => {
  const existing = clients.get(address);
  if (existing !== undefined) return existing;
  const created = new Client(
    address,
    credentials.createInsecure(),
    CHANNEL_OPTIONS,
  );
  clients.set(address, created);
  return created;
};

/**
 * Client for calls to peers. Channels are opened on demand and limited in
 * number. Failed calls reject with `SnowgateError`.
 */
export class PeerLink {
  private readonly metadata = new Metadata();
  private readonly peers = new LRUCache<string, PeerClient>({
    max: MAX_CLIENTS,
    dispose: (client) => client.close(),
  });
  private readonly sides = new LRUCache<string, SideClient>({
    max: MAX_CLIENTS,
    dispose: (client) => client.close(),
  });

  constructor(secret: string) {
    this.metadata.set(HEADERS.auth, secret);
  }

  close(): void {
    this.peers.clear();
    this.sides.clear();
  }

  exchange(address: string, digest: Digest): Promise<Digest> {
    const peer = this.peer(address);
    return this.call(peer.exchange.bind(peer) as Unary<Digest, Digest>, digest);
  }

  fetchConfig(
    address: string,
    request: FetchConfigRequest,
  ): Promise<FetchConfigReply> {
    const peer = this.peer(address);
    return this.call(
      peer.fetchConfig.bind(peer) as Unary<
        FetchConfigRequest,
        FetchConfigReply
      >,
      request,
    );
  }

  fetchMembers(address: string): Promise<FetchMembersReply> {
    const peer = this.peer(address);
    return this.call(
      peer.fetchMembers.bind(peer) as Unary<
        FetchMembersRequest,
        FetchMembersReply
      >,
      {},
    );
  }

  nudge(address: string, request: NudgeRequest): Promise<NudgeReply> {
    const side = this.side(address);
    return this.call(
      side.nudge.bind(side) as Unary<NudgeRequest, NudgeReply>,
      request,
    );
  }

  report(address: string): Promise<ReportReply> {
    const side = this.side(address);
    return this.call(
      side.report.bind(side) as Unary<ReportRequest, ReportReply>,
      {},
    );
  }

  private peer(address: string): PeerClient {
    return clientFor(this.peers, address, PeerClient);
  }

  private side(address: string): SideClient {
    return clientFor(this.sides, address, SideClient);
  }

  private call<Req, Res>(unary: Unary<Req, Res>, request: Req): Promise<Res> {
    return new Promise((resolve, reject) => {
      const deadline = Date.now() + CALL_TIMEOUT_MS;
      unary(request, this.metadata, { deadline }, (err, reply) => {
        if (err === null) return resolve(reply);
        reject(new SnowgateError(`peer call: ${err.details || err.message}`));
      });
    });
  }
}
