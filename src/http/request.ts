/** HTTP client for requests with small JSON bodies, on Node's `http`. */
import http from "node:http";

import { ByteBuffer } from "../shared/byteBuffer.js";
import type { Cancellation } from "../shared/cancellation.js";
import { abortRequest, isAborted } from "./abortRequest.js";
import { KeptConnections } from "./keptConnections.js";
import { receiveAnswer } from "./nonAnswers.js";

/** Connection pool for control traffic. */
const agent = new KeptConnections({ keepAlive: true, maxSockets: 64 });

/** Largest response with all of its framing, bytes; a page of a list has 1 MB. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Errors of a connection that the peer has closed. */
const CLOSED_BY_PEER = ["ECONNRESET", "EPIPE"];

const connectionReset = (message: string): NodeJS.ErrnoException =>
  Object.assign(new Error(message), { code: "ECONNRESET" });

/** Requests without a whole response. */
const openRequests = new Set<http.ClientRequest>();

/** Gives up all calls of this process, which is about to end. */
export const abortOpenExchanges = (): void => {
  for (const req of [...openRequests]) abortRequest(req, "the process ends");
};

/** A complete response; the body is not parsed. */
export interface JsonResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
  text: string;
}

/**
 * Thrown by `exchange`; `sent`: the request may have left this process; `isCut`:
 * the peer closed its connection before a whole answer.
 */
export class ExchangeError extends Error {
  constructor(
    message: string,
    readonly sent: boolean,
    readonly isCut = false,
  ) {
    super(message);
  }
}

/** Request to send. */
export interface ExchangeOptions {
  method: string;
  url: string;
  headers?: Record<string, string>;
  /** Body, sent as JSON. */
  body?: unknown;
  /** Raw body, sent unchanged if `body` is absent. */
  text?: string;
  timeoutMs: number;
  /** Resets the connection when it is cancelled. */
  cancellation?: Cancellation;
}

/**
 * Sends a request and buffers the response; rejects with `ExchangeError`. A
 * request that is given up can't arrive afterwards.
 */
export const exchange = (options: ExchangeOptions): Promise<JsonResponse> =>
  new Promise((resolve, reject) => {
    const body =
      options.body === undefined ? options.text : JSON.stringify(options.body);
    const begunAt = performance.now();
    let connected = false;
    const req = http.request(options.url, {
      method: options.method,
      agent,
      headers: {
        "content-type": "application/json",
        ...options.headers,
        ...(body === undefined
          ? {}
          : { "content-length": Buffer.byteLength(body) }),
      },
    });
    openRequests.add(req);
    const giveUp = (why: string) => {
      abortRequest(req, why);
      const { port } = new URL(options.url);
      agent.closeIdleSince(req.host, port, begunAt);
    };
    const onTimeout = () =>
      giveUp(
        req.reusedSocket ? "timed out on a reused connection" : "timed out",
      );
    const timer = setTimeout(onTimeout, options.timeoutMs);
    const detach = options.cancellation?.onCancel(() => giveUp("cancelled"));
    let stopCounting = () => undefined as void;
    const settled = () => {
      openRequests.delete(req);
      clearTimeout(timer);
      detach?.();
      stopCounting();
    };
    const fail = (err: NodeJS.ErrnoException) => {
      settled();
      const isClosedByPeer = CLOSED_BY_PEER.includes(err.code ?? "");
      const isCut = connected && isClosedByPeer && !isAborted(req);
      reject(new ExchangeError(err.message, connected, isCut));
    };
    req.on("socket", (socket) => {
      const readBefore = socket.bytesRead;
      const count = () => {
        if (socket.bytesRead - readBefore > MAX_RESPONSE_BYTES)
          abortRequest(req, `answer is over ${MAX_RESPONSE_BYTES} bytes`);
      };
      socket.on("data", count);
      stopCounting = () => void socket.off("data", count);
      if (!socket.connecting) connected = true;
      else socket.once("connect", () => (connected = true));
    });
    req.on("error", fail);
    receiveAnswer(req, (res) => {
      const received = new ByteBuffer();
      res.on("data", (chunk: Buffer) => received.append(chunk));
      res.on("error", fail);
      res.on("close", () => {
        if (!res.complete) return fail(connectionReset("answer was cut"));
        settled();
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          text: received.take().toString("utf8"),
        });
      });
    });
    req.end(body);
  });
