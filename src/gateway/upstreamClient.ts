/**
 * HTTP client for replicas with keep-alive connections, on Node's `http`. For
 * a failed send it reports whether the request may have run.
 */
import http from "node:http";
import net from "node:net";
import type { Socket } from "node:net";

import { receiveAnswer, resetConnection, splitAddress } from "../http/index.js";
import type { Cancellation } from "../shared/cancellation.js";
import type { Verdict } from "../shared/verdict.js";
import { ReplyBuffers } from "./replyBuffers.js";
import { UpstreamReply } from "./upstreamReply.js";

/** Timeout for establishing a connection, ms. */
const CONNECT_TIMEOUT_MS = 400;
/** Timeout of idle connections, ms; replicas keep them longer. */
const IDLE_TIMEOUT_MS = 5000;
/** Fraction of a replica's idle timeout during which a connection is reused. */
const IDLE_FRACTION = 0.6;
const REFUSED_CODE = "ECONNREFUSED";
const KEEP_ALIVE_HINT = /timeout=(\d+)/;
const MAX_IDLE_SOCKETS = 128;
const MAX_REPLY_BYTES = 64 * 1024 * 1024;

/** One request to a replica. */
export interface UpstreamRequest {
  /** Connections are pooled and limited per service. */
  service: string;
  address: string;
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: readonly string[];
  body: Buffer;
  cancellation: Cancellation;
  /**
   * Called just before the request is written, which may be long after the
   * call to `send` if it waits for a connection. If it returns a reason, the
   * request is not sent.
   */
  refusal?: () => string | undefined;
  /** Called when the request is written. */
  onWritten?: () => void;
}

export type SendOutcome = UpstreamReply | SendFailure;

export interface SendFailure {
  kind: "failed";
  verdict: Verdict;
  why: string;
  /** Nothing was sent: the replica accepts no requests now. */
  isUnavailable?: boolean;
  /** The address refused the connection. */
  isRefused?: boolean;
}

/** Result of probing an address. */
export type ProbeResult = "listening" | "refused" | "unknown";

/** Reuses a connection only well within its replica's idle timeout. */
class KeepAliveAgent extends http.Agent {
  override keepSocketAlive(socket: Socket): boolean {
    const { _httpMessage: message } = socket as Socket & {
      _httpMessage?: { res?: http.IncomingMessage };
    };
    const hint = message?.res?.headers["keep-alive"] ?? "";
    const seconds = Number(KEEP_ALIVE_HINT.exec(String(hint))?.[1] ?? Infinity);
    const idleMs = Math.min(IDLE_TIMEOUT_MS, seconds * 1000 * IDLE_FRACTION);
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, IDLE_TIMEOUT_MS);
    socket.unref();
    socket.setTimeout(idleMs);
    socket.on("data", closeOnSurplus);
    return true;
  }

  override reuseSocket(socket: Socket, req: http.ClientRequest): void {
    socket.off("data", closeOnSurplus);
    super.reuseSocket(socket, req);
  }
}

/** No answer is due: what follows on the connection belongs to no request. */
function closeOnSurplus(this: Socket): void {
  this.destroy();
}

/** What the client reports about the use of the network. */
export interface SendObserver {
  /** A request with a body of this size is written now. */
  onSent(bodyBytes: number): void;
  /** A new connection was, or was not, established in time. */
  onConnect(address: string, isInTime: boolean): void;
}

export class UpstreamClient {
  /** Connection pools, by service. */
  private readonly agents = new Map<string, http.Agent>();
  private readonly buffers: ReplyBuffers;

  /** `maxReplyBytes`: what all replies together may keep in memory. */
  constructor(
    private readonly observer?: SendObserver,
    maxReplyBytes = MAX_REPLY_BYTES,
  ) {
    this.buffers = new ReplyBuffers(maxReplyBytes);
  }

  /** Resolves with the response head, or with what is known of the failure. */
  send(request: UpstreamRequest): Promise<SendOutcome> {
    return new Promise((resolve) => {
      const { host, port } = splitAddress(request.address);
      const isUnavailable = true;
      let isConnected = false;
      let reply: UpstreamReply | undefined;
      let timer: NodeJS.Timeout | undefined;
      const fail = (why: string, isRefused = false) => {
        clearTimeout(timer);
        const verdict = isConnected ? "may-have-run" : "not-run";
        resolve({ kind: "failed", verdict, why, isRefused });
      };
      const req = http.request({
        host,
        port,
        method: request.method,
        path: request.target,
        headers: request.headers as unknown as http.OutgoingHttpHeaders,
        setHost: false,
        agent: this.agent(request.service),
      });
      const stopListening = request.cancellation.onCancel(() => {
        if (isConnected) resetConnection(req.socket);
        reply?.drop("cancelled");
        req.destroy(new Error("cancelled"));
        // Before the connection is up, Node emits no error until it is.
        if (!isConnected) fail("cancelled");
      });
      // A reply that is not read to its end can outlast its connection.
      req.once("close", () => {
        if (reply === undefined) stopListening();
      });
      // The head is written after these listeners have run.
      const onConnected = () => {
        clearTimeout(timer);
        const why = request.refusal?.();
        if (why !== undefined) {
          resolve({ kind: "failed", verdict: "not-run", why, isUnavailable });
          return void req.destroy();
        }
        isConnected = true;
        request.onWritten?.();
        this.observer?.onSent(request.body.length);
      };
      req.once("socket", (socket) => {
        socket.setNoDelay(true);
        if (!socket.connecting) return onConnected();
        socket.once("connect", () => {
          this.observer?.onConnect(request.address, true);
          onConnected();
        });
        const giveUp = () => {
          this.observer?.onConnect(request.address, false);
          req.destroy(new Error("no connection in time"));
        };
        timer = setTimeout(giveUp, CONNECT_TIMEOUT_MS);
      });
      receiveAnswer(req, (res) => {
        const { address, method } = request;
        const isRefused = async () => (await this.probe(address)) === "refused";
        const { buffers } = this;
        reply = new UpstreamReply(res, { address, method, isRefused, buffers });
        res.once("end", stopListening);
        res.once("close", stopListening);
        resolve(reply);
      });
      req.on("error", (err: NodeJS.ErrnoException) => {
        reply?.onError(err.message);
        fail(err.message, err.code === REFUSED_CODE);
      });
      req.end(request.body);
    });
  }

  /** Tests whether an address accepts connections; closes it at once. */
  probe(address: string): Promise<ProbeResult> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve) => {
      const socket = net.connect({ host, port: Number(port) });
      const end = (found: ProbeResult) => {
        socket.destroy();
        resolve(found);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => end("unknown"));
      socket.once("connect", () => end("listening"));
      socket.once("error", (err: NodeJS.ErrnoException) =>
        end(err.code === REFUSED_CODE ? "refused" : "unknown"),
      );
    });
  }

  /** Limits the connections to each replica of a service. */
  limitConnections(service: string, maxSockets: number): void {
    this.agent(service).maxSockets = maxSockets;
  }

  close(): void {
    for (const agent of this.agents.values()) agent.destroy();
  }

  private agent(service: string): http.Agent {
    const known = this.agents.get(service);
    if (known !== undefined) return known;
    const fresh = new KeepAliveAgent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      scheduling: "lifo",
    });
    this.agents.set(service, fresh);
    return fresh;
  }
}
