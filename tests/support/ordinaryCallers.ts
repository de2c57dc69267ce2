/** Callers that keep to the limits, and how many of them were served. */
import http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const GAP_MS = 100;
const DEADLINE_MS = 3000;
/** Part of its time that a caller waits at most before it comes back. */
const MAX_WAIT_FRACTION = 1 / 3;

/** One request; the URL's host is the address that it is sent to. */
export interface OrdinaryRequest {
  url: string;
  method: string;
  headers: Record<string, string>;
  body?: string;
}

interface Outcome {
  /** 0: the connection was lost, or the time is over. */
  status: number;
  retryAfterMs: number;
}

const send = (request: OrdinaryRequest, leftMs: number): Promise<Outcome> =>
  new Promise((resolve) => {
    const lost = { status: 0, retryAfterMs: 0 };
    const { url, method, headers, body = "" } = request;
    const req = http.request(url, { method, headers, agent: false });
    const timer = setTimeout(() => req.destroy(), leftMs);
    req.on("error", () => resolve(lost));
    req.on("close", () => clearTimeout(timer));
    req.on("response", (res) => {
      const seconds = Number(res.headers["retry-after"] ?? 0);
      const status = res.statusCode ?? 0;
      res.resume();
      res.on("error", () => resolve(lost));
      res.on("close", () =>
        resolve(res.complete ? { status, retryAfterMs: seconds * 1000 } : lost),
      );
    });
    req.end(body);
  });

/** Sends one request, and again as it is told while it has time. */
export const call = async (
  requestAt: (leftMs: number) => OrdinaryRequest,
  deadlineMs = DEADLINE_MS,
): Promise<number> => {
  const endsAt = performance.now() + deadlineMs;
  for (;;) {
    const leftMs = endsAt - performance.now();
    if (leftMs <= 0) return 0;
    const { status, retryAfterMs } = await send(requestAt(leftMs), leftMs);
    if (status !== 503) return status;
    const waitMs = Math.min(retryAfterMs, leftMs * MAX_WAIT_FRACTION);
    await sleep(Math.max(waitMs, GAP_MS));
  }
};

/** Sends requests at an even pace, each on a connection of its own. */
export class OrdinaryCallers {
  private readonly calls: Promise<number>[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(requestOf: (count: number, leftMs: number) => OrdinaryRequest) {
    this.timer = setInterval(() => {
      const count = this.calls.length;
      this.calls.push(call((leftMs) => requestOf(count, leftMs)));
    }, GAP_MS);
  }

  /** Ends with the share of the requests that were served. */
  async stop(): Promise<{ served: number; sent: number }> {
    clearInterval(this.timer);
    const statuses = await Promise.all(this.calls);
    const served = statuses.filter((status) => status === 200).length;
    return { served, sent: statuses.length };
  }
}
