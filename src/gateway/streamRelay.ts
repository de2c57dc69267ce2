/**
 * Relays the events of one response to its caller, over one or more runs.
 * Only whole events are sent, each once, and the response is ended only if the
 * last run completed.
 */
import type { IncomingMessage } from "node:http";

import type { CallerRequest } from "./callerRequest.js";
import type { StreamResult } from "../scheduling/index.js";
import type { BodyFraming } from "../http/index.js";
import { EventSplitter } from "./eventSplitter.js";
import type { WholeEvents } from "./eventSplitter.js";
import type { UpstreamReply } from "./upstreamReply.js";

/** Largest event, with all blank lines and comments before it, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** How one run of a stream ended. */
export type RunEnd =
  { kind: "complete" } | { kind: "cut"; why: string } | { kind: "caller-gone" };

/** Statistics of a stream for the log; times are ms. */
export interface StreamStats {
  /** Chunks relayed, each with one or more events. */
  events: number;
  longestPauseMs: number;
  /** Time since the last chunk. */
  sinceLastMs: number;
  /** Total time during which the caller's socket was not draining. */
  heldByCallerMs: number;
  /** How the end of the last run's body was marked. */
  framing: BodyFraming | undefined;
  /** Bytes of an unfinished event when the last run ended. */
  restBytes: number;
}

export class StreamRelay {
  /** Id of the last event sent to the caller. */
  lastEventId: string | undefined;
  events = 0;
  /** When the last event arrived from an engine, ms. */
  private lastAt: number | undefined;
  /** Events relayed in the current run. */
  private runEventCount = 0;
  /** When the first event of the current run arrived, ms. */
  private runFirstAt = 0;
  /** Longest time between two events, ms. */
  private longestPauseMs = 0;
  /** When reading was paused because the caller's socket is full, ms. */
  private pausedSince: number | undefined;
  private pausedMs = 0;
  private framing: BodyFraming | undefined;
  private restBytes = 0;

  constructor(
    private readonly caller: CallerRequest,
    private readonly onFirstEvent: () => void,
    private readonly now: () => number,
  ) {}

  /** Statistics of the stream so far; times are ms. */
  stats(): StreamStats {
    const now = this.now();
    const currentPauseMs =
      this.pausedSince === undefined ? 0 : now - this.pausedSince;
    return {
      events: this.events,
      longestPauseMs: Math.round(this.longestPauseMs),
      sinceLastMs: Math.round(now - (this.lastAt ?? now)),
      heldByCallerMs: Math.round(this.pausedMs + currentPauseMs),
      framing: this.framing,
      restBytes: this.restBytes,
    };
  }

  /** Returns and resets the current run; undefined if it had no events. */
  takeStreamResult(isCut: boolean): StreamResult | undefined {
    const { runEventCount: events, runFirstAt, lastAt } = this;
    this.runEventCount = 0;
    if (events === 0 || lastAt === undefined) return undefined;
    return { events, tookMs: lastAt - runFirstAt, isCut };
  }

  /** Relays the events of one run; resolves when it has ended, however. */
  async run(reply: UpstreamReply): Promise<RunEnd> {
    const { res, framing } = reply;
    const splitter = new EventSplitter();
    this.framing = framing;
    const canBeEmpty = framing !== "connection" || this.isContinued;
    reply.contentFault = () => {
      this.restBytes = splitter.pendingBytes;
      if (splitter.bytesSinceEvent > MAX_EVENT_BYTES)
        return "an event is too large";
      if (splitter.isInsideEvent) return "the stream ended inside an event";
      const isEmpty = this.events === 0 && !canBeEmpty;
      return isEmpty ? "the stream ended before its first event" : undefined;
    };
    reply.read((chunk) => {
      const whole = splitter.push(chunk);
      if (whole.bytes.length > 0) this.forward(res, whole);
      reply.setBuffered(splitter.pendingBytes);
      if (splitter.bytesSinceEvent > MAX_EVENT_BYTES) res.destroy();
    });
    const end = await reply.ended();
    if (this.caller.isCallerGone) return { kind: "caller-gone" };
    if (end.kind === "cut") return end;
    const rest = splitter.flush();
    if (rest.length > 0) this.caller.writePart(rest);
    return { kind: "complete" };
  }

  /** Whether the caller has events already, from an earlier run or request. */
  private get isContinued(): boolean {
    return this.events > 0 || this.caller.head.resumption !== undefined;
  }

  private forward(
    reply: IncomingMessage,
    { bytes, count, lastId }: WholeEvents,
  ): void {
    const { res } = this.caller;
    if (this.events === 0) this.onFirstEvent();
    this.events += 1;
    this.measureGap();
    if (this.runEventCount === 0) this.runFirstAt = this.lastAt ?? 0;
    this.runEventCount += count;
    this.lastEventId = lastId ?? this.lastEventId;
    if (res.destroyed || this.caller.writePart(bytes)) return;
    this.pauseUntilDrain(reply);
  }

  /** Applies backpressure: reads no more until the caller's socket drains. */
  private pauseUntilDrain(reply: IncomingMessage): void {
    const since = this.now();
    this.pausedSince = since;
    reply.pause();
    this.caller.res.once("drain", () => {
      this.pausedMs += this.now() - since;
      this.pausedSince = undefined;
      reply.resume();
    });
  }

  private measureGap(): void {
    const now = this.now();
    const pauseMs = now - (this.lastAt ?? now);
    this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    this.lastAt = now;
  }
}
