/**
 * Passes the events of one answer on to its caller, over one or more runs:
 * whole events only, each once, and an end only where the last run ended
 * well.
 */
import type { IncomingMessage } from "node:http";

import type { CallerRequest } from "./callerRequest.js";
import { EventSplitter } from "./eventSplitter.js";
import type { UpstreamReply } from "./upstreamClient.js";

/** How one run of a stream ended. */
export type RunEnd =
  { kind: "complete" } | { kind: "cut"; why: string } | { kind: "caller-gone" };

export class StreamRelay {
  /** Id of the last event that the caller was sent. */
  lastEventId: string | undefined;
  events = 0;

  constructor(
    private readonly caller: CallerRequest,
    private readonly onFirstEvent: () => void,
  ) {}

  /** Passes one run on; resolves when it has ended in any way. */
  run({ res: reply, isWhole }: UpstreamReply): Promise<RunEnd> {
    return new Promise((resolve) => {
      const splitter = new EventSplitter();
      let end: RunEnd = { kind: "cut", why: "the answer was cut" };
      reply.on("data", (chunk: Buffer) => {
        const { bytes, lastId } = splitter.take(chunk);
        if (bytes.length > 0) this.pass(reply, bytes, lastId);
      });
      reply.on("error", (err) => {
        end = { kind: "cut", why: err.message };
      });
      reply.on("close", () => {
        if (this.caller.isCallerGone) return resolve({ kind: "caller-gone" });
        if (!isWhole()) return resolve(end);
        const rest = splitter.rest();
        if (rest.length > 0) this.caller.res.write(rest);
        resolve({ kind: "complete" });
      });
    });
  }

  private pass(
    reply: IncomingMessage,
    bytes: Buffer,
    lastId: string | undefined,
  ): void {
    const { res } = this.caller;
    if (this.events === 0) this.onFirstEvent();
    this.events += 1;
    this.lastEventId = lastId ?? this.lastEventId;
    if (res.destroyed || res.write(bytes)) return;
    reply.pause();
    res.once("drain", () => reply.resume());
  }
}
