/** Bodies of a configuration's parts as they travel between peers. */
import { gunzipSync, gzipSync } from "node:zlib";

/** A peer that sends more is not believed. */
const MAX_BODIES_BYTES = 16 * 1024 * 1024;

export const packBodies = (bodies: Record<string, string>): Buffer =>
  gzipSync(JSON.stringify(bodies));

/** Throws where it is not what a peer packs, or too large. */
export const unpackBodies = (packed: Uint8Array): Record<string, string> => {
  const options = { maxOutputLength: MAX_BODIES_BYTES };
  const text = gunzipSync(packed, options).toString("utf8");
  return JSON.parse(text) as Record<string, string>;
};
