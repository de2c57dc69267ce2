/** One request of a caller: reads its body, and counts what it holds. */
import type http from "node:http";

import { readBody } from "../http/index.js";
import { Cancellation } from "../shared/cancellation.js";
import type { CallerMemory, Holding } from "./callerMemory.js";
import type { LoopTurns } from "./loopTurns.js";
import type { CloseReason } from "./types.js";

/** How much of a refused body is read away, in bytes, chunks and ms. */
const MAX_DISCARDED_CHUNKS = 4096;
const DISCARD_TIMEOUT_MS = 2000;
/** Of a body that is over its limit, bytes: for its caller to read why. */
const MAX_DISCARDED_EXCESS_BYTES = 256 * 1024;
/** Work of taking a chunk of a body, and bytes of it, as for `LoopTurns`. */
const CHUNK_WORK = 1;
const BYTES_PER_WORK = 512;
const NOT_IN_TIME = "its body is not whole in time";
const NO_ROOM = "callers hold all the memory that there is for them";

/** Thrown if the memory for callers has no room for a request. */
export class NoRoomError extends Error {}

/** Thrown if a body is not whole in time. */
export class BodyTimeoutError extends Error {}

export interface CallerExchangeOptions {
  req: http.IncomingMessage;
  memory: CallerMemory;
  turns: LoopTurns;
  now: () => number;
  /** What the request takes besides its body and answer. */
  headBytes: number;
  close(reason: CloseReason): void;
}

export class CallerExchange {
  /** Whether there is no room for its head: it has to be refused at once. */
  isRefused: boolean;
  /** Whether its body is whole and its answer is not. */
  isInProgress = false;
  private readonly holding: Holding;
  private readonly reading = new Cancellation();
  /** When the body that is read must be whole, ms. */
  private bodyDueAt: number | undefined;
  /** Why reading the body was cancelled. */
  private failure: Error | undefined;
  private discardTimer: NodeJS.Timeout | undefined;
  private bodyBytes = 0;
  private answerBytes = 0;
  /** Gives up what it holds. */
  private giveUp: () => void;

  constructor(private readonly options: CallerExchangeOptions) {
    const { memory, headBytes, close } = options;
    this.isRefused = !memory.hasRoomForHead(headBytes);
    this.giveUp = () => (this.isRefused = true);
    this.holding = memory.hold(() => this.giveUp());
    if (!this.isRefused) this.holding.set(headBytes);
    this.giveUp = () => close("memory");
  }

  /**
   * Reads the whole body. From then on the request is in progress, and is not
   * closed for what it holds. Rejects with `BodyTooLargeError`, `NoRoomError`
   * or `BodyTimeoutError`, and with `Error` if the connection closes early.
   */
  async readBody(maxBytes: number, timeoutMs: number): Promise<Buffer> {
    const { req, memory, turns, headBytes } = this.options;
    const closeConnection = this.giveUp;
    this.giveUp = () => this.cancelReading(new NoRoomError(NO_ROOM));
    const length = Number(req.headers["content-length"] ?? 0);
    const hasRoom = !this.isRefused && memory.hasRoomFor(length);
    if (length <= maxBytes && !hasRoom) this.giveUp();
    this.bodyDueAt = this.options.now() + timeoutMs;
    const onChunk = (chunkBytes: number, bodyBytes: number) => {
      turns.record(req.socket, CHUNK_WORK + chunkBytes / BYTES_PER_WORK);
      // The chunk itself: the body has a copy.
      memory.recordReleased(chunkBytes);
      this.bodyBytes = bodyBytes;
      this.holding.set(headBytes + bodyBytes);
    };
    try {
      const cancellation = this.reading;
      const body = await readBody(req, maxBytes, { onChunk, cancellation });
      this.begin();
      return body;
    } catch (err) {
      memory.recordReleased(this.bodyBytes);
      this.bodyBytes = 0;
      this.holding.set(headBytes);
      throw this.failure ?? err;
    } finally {
      this.bodyDueAt = undefined;
      this.giveUp = closeConnection;
    }
  }

  /** Gives up a body that is not whole in time. */
  checkBody(now: number): void {
    if (this.bodyDueAt === undefined || now < this.bodyDueAt) return;
    this.cancelReading(new BodyTimeoutError(NOT_IN_TIME));
  }

  /** Counts what its caller has not read of the answer; it may be closed for it. */
  holdAnswer(bytes: number): void {
    this.isInProgress = false;
    this.answerBytes = bytes;
    // The chunks that it came in.
    this.options.memory.recordReleased(bytes);
    this.holding.unpin();
    this.holding.set(this.options.headBytes + this.bodyBytes + bytes);
  }

  /** Its caller has read what there is of a streamed answer. */
  releaseAnswer(): void {
    this.holding.set(this.options.headBytes + this.bodyBytes);
    this.begin();
  }

  /**
   * Reads the rest of a refused request's body, so that its caller gets to read
   * why; beyond some size or time the connection is closed.
   */
  discardBody(maxBytes: number): void {
    const { req, close, turns, memory } = this.options;
    if (req.complete || req.socket.destroyed) return void req.resume();
    const length = Number(req.headers["content-length"] ?? 0);
    const allowed = length > maxBytes ? 0 : maxBytes;
    let left = Math.max(allowed, MAX_DISCARDED_EXCESS_BYTES);
    let chunks = 0;
    const giveUp = () => close("body-not-ended");
    this.discardTimer = setTimeout(giveUp, DISCARD_TIMEOUT_MS);
    req.on("data", (chunk: Buffer) => {
      turns.record(req.socket, CHUNK_WORK + chunk.length / BYTES_PER_WORK);
      memory.recordReleased(chunk.length);
      left -= chunk.length;
      chunks += 1;
      if (left < 0 || chunks > MAX_DISCARDED_CHUNKS) giveUp();
    });
    req.on("error", () => undefined);
    req.once("end", () => this.stopReading());
    req.once("close", () => this.stopReading());
    req.resume();
  }

  /** Nothing more of its body arrives. */
  stopReading(): void {
    clearTimeout(this.discardTimer);
  }

  /** The response has ended, or its connection is closed. */
  end(): void {
    this.isInProgress = false;
    this.holding.release();
    this.options.memory.recordReleased(this.bodyBytes + this.answerBytes);
  }

  private cancelReading(failure: Error): void {
    this.failure ??= failure;
    this.reading.cancel();
  }

  private begin(): void {
    this.isInProgress = true;
    this.holding.pin();
  }
}
