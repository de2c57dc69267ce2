/** HTTP client for requests with small JSON bodies, on Node's `http`. */
import http from "node:http";

import type { Cancellation } from "../shared/cancellation.js";
import { KeptConnections } from "./keptConnections.js";

/** Connection pool for control traffic. */
const agent = new KeptConnections({ keepAlive: true, maxSockets: 64 });

/** A complete response; the body is not parsed. */
export interface JsonResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
  text: string;
}

/** Thrown by `exchange`; `sent`: the request may have left this process. */
export class ExchangeError extends Error {
  constructor(
    message: string,
    readonly sent: boolean,
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
  /** Closes the connection when it is cancelled. */
  cancellation?: Cancellation;
}

/** Sends a request and buffers the response; rejects with `ExchangeError`. */
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
    const giveUp = (why: string) => {
      req.destroy(new Error(why));
      const { port } = new URL(options.url);
      agent.closeIdleSince(req.host, port, begunAt);
    };
    const onTimeout = () =>
      giveUp(
        req.reusedSocket ? "timed out on a reused connection" : "timed out",
      );
    const timer = setTimeout(onTimeout, options.timeoutMs);
    const detach = options.cancellation?.onCancel(() => giveUp("cancelled"));
    const settled = () => {
      clearTimeout(timer);
      detach?.();
    };
    const fail = (err: Error) => {
      settled();
      reject(new ExchangeError(err.message, connected));
    };
    req.on("socket", (socket) => {
      if (!socket.connecting) connected = true;
      else socket.once("connect", () => (connected = true));
    });
    req.on("error", fail);
    req.on("response", (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (chunk: Buffer) => chunks.push(chunk));
      res.on("error", fail);
      res.on("close", () => {
        if (!res.complete) return fail(new Error("answer was cut"));
        settled();
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          text: Buffer.concat(chunks).toString("utf8"),
        });
      });
    });
    req.end(body);
  });
