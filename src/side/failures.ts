/** Failures that a side returns to an entry. */
import type http from "node:http";

import { sendJson } from "../http/index.js";
import { HEADERS } from "../shared/constants.js";
import type { RequestFailure } from "../shared/errors.js";

const HTTP_UNAVAILABLE = 503;
const HTTP_BAD_GATEWAY = 502;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAUTHORIZED = 401;

/** Refused before anything was sent to the upstream. */
export const refused = (
  code: "overloaded" | "deadline" | "draining" | "leaving",
  retryAfterMs: number,
): RequestFailure => ({
  status: HTTP_UNAVAILABLE,
  code,
  message: `the side refused before it wrote: ${code}`,
  verdict: "not-run",
  retryAfterMs,
});

export const unauthorized = (): RequestFailure => ({
  status: HTTP_UNAUTHORIZED,
  code: "unauthorized",
  message: "only entries of this fleet may send requests",
  verdict: "not-run",
});

export const wrongUpstream = (requested: string): RequestFailure => ({
  status: HTTP_MISDIRECTED,
  code: "wrong_upstream",
  message: `this side does not serve ${requested}`,
  verdict: "not-run",
});

/** The upstream could not be reached, so nothing was sent to it. */
export const unreachable = (why: string): RequestFailure => ({
  status: HTTP_BAD_GATEWAY,
  code: "unreachable",
  message: `upstream not reached: ${why}`,
  verdict: "not-run",
});

/** The connection was lost after data may have been sent. */
export const connectionLost = (why: string): RequestFailure => ({
  status: HTTP_BAD_GATEWAY,
  code: "cut",
  message: `upstream connection lost: ${why}`,
  verdict: "may-have-run",
});

/** The response has the id of another request. */
export const mismatchedResponse = (): RequestFailure => ({
  status: HTTP_BAD_GATEWAY,
  code: "crossed",
  message: "the upstream answered with another request's id",
  verdict: "may-have-run",
});

/** Sends a failure with its verdict. */
export const sendFailure = (
  res: http.ServerResponse,
  failure: RequestFailure,
  headers: Record<string, string> = {},
): void => {
  const retry: Record<string, string> =
    failure.retryAfterMs === undefined
      ? {}
      : { [HEADERS.retryAfterMs]: String(Math.ceil(failure.retryAfterMs)) };
  sendJson(
    res,
    failure.status,
    { error: failure },
    {
      [HEADERS.verdict]: failure.verdict,
      ...retry,
      ...headers,
    },
  );
};
