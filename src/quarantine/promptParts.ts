/**
 * Keys of the prompt parts that a request shares with others. One of them may
 * crash each replica that writes an answer on it, in whatever request.
 */
import { fingerprint } from "../shared/utils.js";

const KEY_PREFIX = "part:";
/** Parts considered per request, since callers may name any number. */
const MAX_PARTS = 32;
/** Ids that are used as they are; others are replaced by a fingerprint. */
const SHORT_ID = /^[\w-]{1,40}$/;

const partKey = (id: string): string =>
  `${KEY_PREFIX}${SHORT_ID.test(id) ? id : fingerprint(id)}`;

/** Part ids are hashes of the parts' content, the same for all callers. */
export const isPartKey = (key: string): boolean => key.startsWith(KEY_PREFIX);

/** The last part belongs to the request itself or to its session. */
export const sharedPartKeys = (parts: readonly { id: string }[]): string[] => {
  const shared = parts.slice(0, -1).slice(0, MAX_PARTS);
  return [...new Set(shared.map(({ id }) => partKey(id)))];
};
