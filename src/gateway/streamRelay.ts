/**
 * Passes the events of one answer on to its caller, over one or more runs:
 * whole events only, each once, and an end only where the last run ended
 * well.
 */
import type { IncomingMessage } from "node:http";

import type { CallerRequest } from "./callerRequest.js";
import type { StreamResult } from "../scheduling/index.js";
import { EventSplitter } from "./eventSplitter.js";
import type { WholeEvents } from "./eventSplitter.js";
import type { UpstreamReply } from "./upstreamClient.js";

/** How one run of a stream ended. */
export type RunEnd =
  { kind: "complete" } | { kind: "cut"; why: string } | { kind: "caller-gone" };

/** How a stream went, for the log; times are ms. */
export interface StreamStats {
  /** Pieces that were passed on: one or more events each. */
  events: number;
  longestPauseMs: number;
  /** Since the last one. */
  sinceLastMs: number;
  /** How long the caller did not take what it was sent. */
  heldByCallerMs: number;
}

export class StreamRelay {
  /** Id of the last event that the caller was sent. */
  lastEventId: string | undefined;
  events = 0;
  /** When the last event came from an engine, ms. */
  private lastAt: number | undefined;
  /** Events relayed of the current run. */
  private runEvents = 0;
  /** When the first of them came from the engine, ms. */
  private runFirstAt = 0;
  /** Longest time between two events, ms. */
  private longestPauseMs = 0;
  /** Since when the caller has not taken what it was sent, ms. */
  private heldSince: number | undefined;
  private heldMs = 0;

  constructor(
    private readonly caller: CallerRequest,
    private readonly onFirstEvent: () => void,
    private readonly now: () => number,
  ) {}

  /** What is known of the stream so far, for the log; times are ms. */
  stats(): StreamStats {
    const now = this.now();
    const holdMs = this.heldSince === undefined ? 0 : now - this.heldSince;
    return {
      events: this.events,
      longestPauseMs: Math.round(this.longestPauseMs),
      sinceLastMs: Math.round(now - (this.lastAt ?? now)),
      heldByCallerMs: Math.round(this.heldMs + holdMs),
    };
  }

  /** Returns and resets the current run; undefined if it had no events. */
  takeStreamResult(isCut: boolean): StreamResult | undefined {
    const { runEvents: events, runFirstAt, lastAt } = this;
    this.runEvents = 0;
    if (events === 0 || lastAt === undefined) return undefined;
    return { events, tookMs: lastAt - runFirstAt, isCut };
  }

  /** Passes one run on; resolves when it has ended in any way. */
  run({ res: reply, isWhole }: UpstreamReply): Promise<RunEnd> {
    return new Promise((resolve) => {
      const splitter = new EventSplitter();
      let end: RunEnd = { kind: "cut", why: "the answer was cut" };
      reply.on("data", (chunk: Buffer) => {
        const whole = splitter.push(chunk);
        if (whole.bytes.length > 0) this.pass(reply, whole);
      });
      reply.on("error", (err) => {
        end = { kind: "cut", why: err.message };
      });
      reply.on("close", () => {
        if (this.caller.isCallerGone) return resolve({ kind: "caller-gone" });
        if (!isWhole()) return resolve(end);
        const rest = splitter.flush();
        if (rest.length > 0) this.caller.res.write(rest);
        resolve({ kind: "complete" });
      });
    });
  }

  private pass(
    reply: IncomingMessage,
    { bytes, count, lastId }: WholeEvents,
  ): void {
    const { res } = this.caller;
    if (this.events === 0) this.onFirstEvent();
    this.events += 1;
    this.measurePause();
    if (this.runEvents === 0) this.runFirstAt = this.lastAt ?? 0;
    this.runEvents += count;
    this.lastEventId = lastId ?? this.lastEventId;
    if (res.destroyed || res.write(bytes)) return;
    this.hold(reply);
  }

  /** Takes nothing more from the engine until the caller has caught up. */
  private hold(reply: IncomingMessage): void {
    const since = this.now();
    this.heldSince = since;
    reply.pause();
    this.caller.res.once("drain", () => {
      this.heldMs += this.now() - since;
      this.heldSince = undefined;
      reply.resume();
    });
  }

  private measurePause(): void {
    const now = this.now();
    const pauseMs = now - (this.lastAt ?? now);
    this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    this.lastAt = now;
  }
}
