/**
 * Relays server-sent events to a caller. Only whole events are sent, each once
 * and in order, so that a truncated stream can be resumed on another upstream
 * without losing or repeating a token.
 */
import type http from "node:http";

import { createParser } from "eventsource-parser";

const DONE = "[DONE]";

/** How the stream from one upstream ended. */
export type StreamEnd =
  | { kind: "done" }
  /**
   * Truncated, out of order, or with events of another request: the rest must
   * come from another upstream.
   */
  | { kind: "cut"; why: string }
  | { kind: "caller-gone" };

interface StreamChunk {
  id?: string;
  token_index?: number;
}

/** Relays one stream to its caller, over all attempts of the request. */
export class StreamRelay {
  /** Number of tokens sent to the caller. */
  sentTokens = 0;
  private id: string | undefined;

  constructor(private readonly res: http.ServerResponse) {}

  get isStarted(): boolean {
    return this.res.headersSent;
  }

  start(headers: http.OutgoingHttpHeaders): void {
    if (this.res.headersSent) return;
    this.res.writeHead(200, headers);
    this.res.flushHeaders();
  }

  /** Relays events until the upstream's stream ends or the caller leaves. */
  relayEvents(upstream: http.IncomingMessage): Promise<StreamEnd> {
    return new Promise((resolve) => {
      let isOver = false;
      const end = (outcome: StreamEnd) => {
        if (isOver) return;
        isOver = true;
        this.res.removeListener("close", onGone);
        this.res.removeListener("drain", onDrain);
        upstream.destroy();
        resolve(outcome);
      };
      const onGone = () => end({ kind: "caller-gone" });
      const onDrain = () => upstream.resume();
      const parser = createParser({
        onEvent: ({ data }) => {
          if (isOver) return;
          if (data === DONE) return this.finish(end);
          const why = this.relayEvent(data);
          if (why !== undefined) end({ kind: "cut", why });
        },
      });
      const decoder = new TextDecoder();
      this.res.on("close", onGone);
      this.res.on("drain", onDrain);
      upstream.on("data", (bytes: Buffer) => {
        parser.feed(decoder.decode(bytes, { stream: true }));
        // Pauses reading if the caller is slow, which would otherwise fill memory.
        if (this.res.writableNeedDrain) upstream.pause();
      });
      upstream.on("error", () => undefined);
      upstream.on("close", () =>
        end({ kind: "cut", why: "the stream ended without its last event" }),
      );
    });
  }

  /** Ends the stream with an error event. */
  fail(error: unknown): void {
    if (this.res.destroyed) return;
    this.res.write(`data: ${JSON.stringify({ error })}\n\n`);
    this.res.end();
  }

  private finish(end: (outcome: StreamEnd) => void): void {
    this.res.write(`data: ${DONE}\n\n`);
    this.res.end();
    end({ kind: "done" });
  }

  /**
   * Relays one event, or skips it if the caller already has its token. Returns
   * the reason if the event is invalid, else undefined.
   */
  private relayEvent(data: string): string | undefined {
    let chunk: StreamChunk;
    try {
      chunk = JSON.parse(data) as StreamChunk;
    } catch {
      return "an event is not valid JSON";
    }
    this.id ??= chunk.id;
    if (chunk.id !== this.id) return "an event of another request";
    const index = chunk.token_index ?? this.sentTokens;
    if (index < this.sentTokens) return undefined;
    if (index > this.sentTokens) return "a token is missing";
    this.res.write(`data: ${data}\n\n`);
    this.sentTokens += 1;
    return undefined;
  }
}
