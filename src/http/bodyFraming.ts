/** Tells how the end of a response body is marked (RFC 9112, section 6.3). */
import type { IncomingMessage } from "node:http";

/** `connection`: the body ends where its connection does. */
export type BodyFraming = "length" | "chunks" | "connection";

const CHUNKED = /(^|,)\s*chunked\s*$/i;
/** Statuses of responses without a body. */
const BODYLESS_STATUSES: readonly number[] = [204, 304];

/** `method`: of the request that it responds to. */
export const bodyFraming = (
  { statusCode = 0, headers }: IncomingMessage,
  method: string,
): BodyFraming => {
  if (method === "HEAD" || BODYLESS_STATUSES.includes(statusCode))
    return "length";
  const coding = headers["transfer-encoding"];
  if (coding !== undefined)
    return CHUNKED.test(coding) ? "chunks" : "connection";
  return headers["content-length"] === undefined ? "connection" : "length";
};
