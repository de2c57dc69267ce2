/** Small general-purpose helpers. */
import { timingSafeEqual, createHash } from "node:crypto";

const digest = (text: string): Buffer =>
  createHash("sha256").update(text).digest();

/** Compares two secrets in constant time. */
export const isSameSecret = (left: string, right: string): boolean =>
  timingSafeEqual(digest(left), digest(right));

/** A short stable fingerprint of text, 16 hexadecimal digits. */
export const fingerprint = (text: string | Buffer): string =>
  createHash("sha256").update(text).digest("hex").slice(0, 16);

const HASH_DIGITS = 8;

/** Maps a text to [0, 1), evenly and always to the same number. */
export const hashFraction = (text: string): number =>
  parseInt(fingerprint(text).slice(0, HASH_DIGITS), 16) / 16 ** HASH_DIGITS;

/** Returns the message of any thrown value. */
export const errText = (err: unknown): string =>
  err instanceof Error ? err.message : String(err);

/**
 * After this process was paused, sockets hold unread data and closes, and timers
 * are late. One turn of the event loop handles both.
 */
export const nextEventLoopTurn = (): Promise<void> =>
  new Promise((resolve) => setImmediate(resolve));
