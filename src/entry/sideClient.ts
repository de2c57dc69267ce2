/** One attempt: a request from an entry to a side. */
import http from "node:http";

import { HEADERS } from "../shared/constants.js";
import type { RequestFailure } from "../shared/errors.js";
import { isVerdict } from "../shared/verdict.js";
import { errText } from "../shared/utils.js";
import type { LoadReport } from "../routing/index.js";

/** The head of an answer, or why there is none. */
export type AttemptResult =
  | { kind: "response"; res: http.IncomingMessage; abort: () => void }
  | { kind: "failure"; failure: RequestFailure; fault: Fault };

/** What a failure says of the upstream. */
export type Fault = "none" | "refused" | "failing" | "unreachable";

export interface AttemptRequest {
  /** "IP:port" of the side. */
  address: string;
  method: string;
  path: string;
  headers: http.OutgoingHttpHeaders;
  body: Buffer;
  /** Longest wait for a connection, ms. */
  connectTimeoutMs: number;
  /** Longest wait for the head of the answer, ms. */
  timeoutMs: number;
  signal: AbortSignal;
}

const MAX_FAILURE_BYTES = 16_384;

/** Reads the load that a reply carries; undefined where it has none. */
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

/** Connections to sides, opened on use and closed when they idle. */
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
   * Sends the head, waits to be let in, then sends the body. Until the body
   * is on its way a lost connection proves that nothing ran.
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
        () => req.destroy(new Error("no answer in time")),
        attempt.timeoutMs,
      );
      const connectTimer = setTimeout(() => {
        if (req.socket?.connecting) req.destroy(new Error("no connection"));
      }, attempt.connectTimeoutMs);
      const clearTimers = () => {
        clearTimeout(timer);
        clearTimeout(connectTimer);
      };
      const onAbort = () => req.destroy(new Error("given up"));
      attempt.signal.addEventListener("abort", onAbort, { once: true });
      req.on("continue", () => {
        if (attempt.signal.aborted) return;
        isBodySent = true;
        req.end(attempt.body);
      });
      req.on("error", (err) => {
        clearTimers();
        attempt.signal.removeEventListener("abort", onAbort);
        const failure = lostConnection(errText(err), isBodySent);
        const isAborted = attempt.signal.aborted;
        const fault = isBodySent ? "failing" : "unreachable";
        resolve({
          kind: "failure",
          failure,
          fault: isAborted ? "none" : fault,
        });
      });
      req.on("response", (res) => {
        clearTimers();
        res.on("close", () =>
          attempt.signal.removeEventListener("abort", onAbort),
        );
        this.reportHeaders(res);
        if (res.headers[HEADERS.verdict] !== undefined) {
          return void readFailure(res).then((failure) => {
            // Closes the exchange where the body was never asked for.
            if (!isBodySent) req.destroy();
            resolve({ kind: "failure", failure, fault: faultOf(failure) });
          });
        }
        resolve({ kind: "response", res, abort: () => req.destroy() });
      });
      req.flushHeaders();
    });
  }

  private reportHeaders(res: http.IncomingMessage): void {
    const upstream = String(res.headers[HEADERS.upstream] ?? "");
    const load = parseLoadReport(res);
    if (load !== undefined) this.onLoad(upstream, load);
    const number = Number(res.headers[HEADERS.configNumber] ?? 0);
    this.onConfigNumber(number, upstream);
  }
}

const lostConnection = (why: string, isBodySent: boolean): RequestFailure => ({
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

/** A failure that can't be read counts by its header alone. */
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
