/**
 * Relay of server-sent events to a caller. Only whole events are passed on,
 * each once and in order, so that a stream that is cut can go on from
 * another upstream without a token lost or doubled.
 */
import type http from "node:http";

import { createParser } from "eventsource-parser";

const DONE = "[DONE]";

/** How one upstream's part of a stream ended. */
export type StreamEnd =
  | { kind: "done" }
  /** Cut, crossed or out of order: the rest must come from elsewhere. */
  | { kind: "cut"; why: string }
  | { kind: "caller-gone" };

interface StreamChunk {
  id?: string;
  token_index?: number;
}

/** The caller's side of one stream, over all its attempts. */
export class StreamRelay {
  /** Tokens that the caller holds. */
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

  /** Passes events on until the upstream's part ends. */
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
        // A slow reader holds the upstream back instead of filling memory.
        if (this.res.writableNeedDrain) upstream.pause();
      });
      upstream.on("error", () => undefined);
      upstream.on("close", () =>
        end({ kind: "cut", why: "the stream ended without its last event" }),
      );
    });
  }

  /** Tells the caller that the stream ends here, unfinished. */
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

  /** Passes one event on; returns why it can't be, or undefined. */
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
