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

/**
 * Reports a reset at the end of a body that ends with its connection. Libuv
 * takes a reset that closely follows data for a regular end, but after a reset
 * the socket has no peer address any more.
 */
export const onResetAtEnd = (
  { socket }: IncomingMessage,
  onReset: () => void,
): void => {
  socket.prependOnceListener("end", () => {
    if (socket.remoteAddress === undefined) onReset();
  });
};

const JSON_TYPE = /^application\/json\b/i;

/** Whether a body of this type is visibly incomplete. */
export const isHalfJson = (
  { headers }: IncomingMessage,
  body: Buffer,
): boolean => {
  if (!JSON_TYPE.test(headers["content-type"] ?? "")) return false;
  try {
    JSON.parse(body.toString("utf8"));
    return false;
  } catch {
    return true;
  }
};
