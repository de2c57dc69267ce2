/** Writes bytes to a connection without end, as fast as its peer reads them. */
import { pipeline, Readable } from "node:stream";
import type { Writable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";

/** Bytes that begin no answer and end no line. */
export const FILL = "x".repeat(64 * 1024);

async function* repeat(bytes: string, gapMs: number): AsyncGenerator<string> {
  for (;;) {
    await sleep(gapMs);
    yield bytes;
  }
}

/** Ends once the connection does. `gapMs`: pause before each write. */
export const writeEndlessly = (
  connection: Writable,
  bytes: string,
  gapMs = 0,
): void => {
  // One piece ahead is enough, so that what was written tells what was read.
  const source = Readable.from(repeat(bytes, gapMs), { highWaterMark: 1 });
  pipeline(source, connection, () => undefined);
};
