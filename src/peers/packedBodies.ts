/** Encoding of configuration part bodies between peers: gzipped JSON. */
import { gunzipSync, gzipSync } from "node:zlib";

/** Maximum uncompressed size; larger messages are rejected. */
const MAX_BODIES_BYTES = 16 * 1024 * 1024;

export const packBodies = (bodies: Record<string, string>): Buffer =>
  gzipSync(JSON.stringify(bodies));

/** Throws if the data is malformed or too large. */
export const unpackBodies = (packed: Uint8Array): Record<string, string> => {
  const options = { maxOutputLength: MAX_BODIES_BYTES };
  const text = gunzipSync(packed, options).toString("utf8");
  return JSON.parse(text) as Record<string, string>;
};
