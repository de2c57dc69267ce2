/** Selects the headers that a proxy hop forwards. */
import type http from "node:http";

import { INTERNAL_HEADER_PREFIX } from "../shared/constants.js";

/** Hop-by-hop headers, which apply to one connection only. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "expect",
  "host",
  "content-length",
  "upgrade",
  "te",
  "trailer",
  "proxy-authorization",
  "proxy-authenticate",
]);

/** Drops hop-by-hop headers, and internal ones that `keepInternal` rejects. */
export const forwardedHeaders = (
  headers: http.IncomingHttpHeaders,
  keepInternal: (name: string) => boolean,
): http.OutgoingHttpHeaders => {
  const forwarded: http.OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (HOP_BY_HOP_HEADERS.has(name) || value === undefined) continue;
    const isInternal = name.startsWith(INTERNAL_HEADER_PREFIX);
    if (isInternal && !keepInternal(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
};
