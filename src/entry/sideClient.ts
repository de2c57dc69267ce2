/** HTTP client with which an entry sends requests to sides. */
import http from "node:http";

import { abortRequest, receiveAnswer } from "../http/index.js";
import { HEADERS } from "../shared/constants.js";
import type { RequestFailure } from "../shared/errors.js";
import { isVerdict } from "../shared/verdict.js";
import { errText } from "../shared/utils.js";
import type { LoadReport } from "../routing/index.js";

/** The head of a response, or the failure if there is none. */
export type AttemptResult =
  | { kind: "response"; res: http.IncomingMessage; abort: () => void }
  | { kind: "failure"; failure: RequestFailure; fault: Fault };

/** What a failure implies about the upstream's health. */
export type Fault = "none" | "refused" | "failing" | "unreachable";

/** One attempt of a request, to be sent to a side. */
export interface AttemptRequest {
  /** "IP:port" of the side. */
  address: string;
  method: string;
  path: string;
  headers: http.OutgoingHttpHeaders;
  body: Buffer;
  /** Timeout for establishing the connection, ms. */
  connectTimeoutMs: number;
  /** Timeout for the head of the response, ms. */
  timeoutMs: number;
  signal: AbortSignal;
}

const MAX_FAILURE_BYTES = 16_384;

/** Parses the load report of a response; undefined if absent or invalid. */
export const parseLoadReport = (
  res: http.IncomingMessage,
): LoadReport | undefined => {
  const text = res.headers[HEADERS.load];
  if (typeof text !== "string") return undefined;
  try {
    return JSON.parse(text) as LoadReport;
  } catch {
    return undefined;
  }
};

/** Client for sides; its connections are opened on demand and closed if idle. */
export class SideClient {
  private readonly agent = new http.Agent({
    keepAlive: true,
    timeout: 30_000,
  });

  constructor(
    private readonly onLoad: (upstream: string, load: LoadReport) => void,
    private readonly onConfigNumber: (number: number, side: string) => void,
  ) {}

  close(): void {
    this.agent.destroy();
  }

  /**
   * Sends the head, waits until the side admits the request, then sends the
   * body. If the connection is lost before the body is sent, the request has
   * certainly not run.
   */
  send(attempt: AttemptRequest): Promise<AttemptResult> {
    return new Promise((resolve) => {
      let isBodySent = false;
      const req = http.request({
        agent: this.agent,
        host: attempt.address.slice(0, attempt.address.lastIndexOf(":")),
        port: Number(
          attempt.address.slice(attempt.address.lastIndexOf(":") + 1),
        ),
        method: attempt.method,
        path: attempt.path,
        headers: {
          ...attempt.headers,
          expect: "100-continue",
          "transfer-encoding": "chunked",
        },
      });
      const timer = setTimeout(
        () => abortRequest(req, "no answer in time"),
        attempt.timeoutMs,
      );
      const connectTimer = setTimeout(() => {
        if (req.socket?.connecting) abortRequest(req, "no connection");
      }, attempt.connectTimeoutMs);
      const clearTimers = () => {
        clearTimeout(timer);
        clearTimeout(connectTimer);
      };
      const onAbort = () => abortRequest(req, "given up");
      attempt.signal.addEventListener("abort", onAbort, { once: true });
      req.on("continue", () => {
        if (attempt.signal.aborted) return;
        isBodySent = true;
        req.end(attempt.body);
      });
      req.on("error", (err) => {
        clearTimers();
        attempt.signal.removeEventListener("abort", onAbort);
        const failure = connectionFailure(errText(err), isBodySent);
        const isAborted = attempt.signal.aborted;
        const fault = isBodySent ? "failing" : "unreachable";
        resolve({
          kind: "failure",
          failure,
          fault: isAborted ? "none" : fault,
        });
      });
      receiveAnswer(req, (res) => {
        clearTimers();
        res.on("close", () =>
          attempt.signal.removeEventListener("abort", onAbort),
        );
        this.processHeaders(res);
        if (res.headers[HEADERS.verdict] !== undefined) {
          return void readFailure(res).then((failure) => {
            // Closes the connection if the body was never requested.
            if (!isBodySent) req.destroy();
            resolve({ kind: "failure", failure, fault: faultOf(failure) });
          });
        }
        resolve({ kind: "response", res, abort: onAbort });
      });
      req.flushHeaders();
    });
  }

  private processHeaders(res: http.IncomingMessage): void {
    const upstream = String(res.headers[HEADERS.upstream] ?? "");
    const load = parseLoadReport(res);
    if (load !== undefined) this.onLoad(upstream, load);
    const number = Number(res.headers[HEADERS.configNumber] ?? 0);
    this.onConfigNumber(number, upstream);
  }
}

const connectionFailure = (
  why: string,
  isBodySent: boolean,
): RequestFailure => ({
  status: 502,
  code: isBodySent ? "cut" : "unreachable",
  message: `connection to the side: ${why}`,
  verdict: isBodySent ? "may-have-run" : "not-run",
});

const faultOf = (failure: RequestFailure): Fault => {
  switch (failure.code) {
    case "unreachable":
      return "unreachable";
    case "cut":
    case "crossed":
      return "failing";
    default:
      return "refused";
  }
};

const readFailure = (res: http.IncomingMessage): Promise<RequestFailure> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    res.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= MAX_FAILURE_BYTES) chunks.push(chunk);
    });
    res.on("error", () => undefined);
    res.on("close", () => resolve(parseFailure(res, chunks)));
  });

/** Parses a failure; if its body is invalid, only the verdict header is used. */
const parseFailure = (
  res: http.IncomingMessage,
  chunks: Buffer[],
): RequestFailure => {
  const verdict = res.headers[HEADERS.verdict];
  const fallback: RequestFailure = {
    status: 502,
    code: "upstream_error",
    message: `the side answered ${res.statusCode}`,
    verdict: isVerdict(verdict) ? verdict : "may-have-run",
  };
  try {
    const text = Buffer.concat(chunks).toString("utf8");
    const { error } = JSON.parse(text) as { error: RequestFailure };
    return { ...fallback, ...error, verdict: fallback.verdict };
  } catch {
    return fallback;
  }
};
