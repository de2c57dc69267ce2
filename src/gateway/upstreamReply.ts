/** The response of a replica, and whether its body arrived whole. */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

import { bodyFraming, isHalfJson, onResetAtEnd } from "../http/index.js";
import type { BodyFraming } from "../http/index.js";
import { ByteBlocks } from "../shared/byteBlocks.js";
import { EventSplitter } from "./eventSplitter.js";
import type { BufferedReply, ReplyBuffers } from "./replyBuffers.js";

export type BodyEnd = { kind: "whole" } | { kind: "cut"; why: string };

const WHOLE: BodyEnd = { kind: "whole" };
const cut = (why: string) => ({ kind: "cut", why }) as const;

/** Longest body that is read only to keep its connection, bytes and ms. */
const MAX_DISCARDED_BYTES = 16 * 1024;
const DISCARD_TIMEOUT_MS = 1000;
/** Largest number of bytes in a row that bring nothing of the body. */
const MAX_FRAMING_BYTES = 256 * 1024;

export interface UpstreamReplyOptions {
  /** Address of the replica. */
  address: string;
  /** Method of the request. */
  method: string;
  /** Whether the replica's address refuses connections now. */
  isRefused(): Promise<boolean>;
  buffers: ReplyBuffers;
}

/** The head of a response, and its body as a stream. */
export class UpstreamReply implements BufferedReply {
  readonly kind = "reply";
  readonly framing: BodyFraming;
  /**
   * Set by the reader of the body: why what it has read can't be a whole body;
   * undefined if it may be one.
   */
  contentFault: () => string | undefined = () => undefined;
  private error: string | undefined;
  /** Node detaches it from the response once that has ended. */
  private readonly socket: Socket;
  private readonly closed: Promise<unknown>;
  private judged: Promise<BodyEnd> | undefined;
  /** Bytes received since the last ones of the body. */
  private framingBytes = 0;

  constructor(
    readonly res: IncomingMessage,
    private readonly options: UpstreamReplyOptions,
  ) {
    this.framing = bodyFraming(res, options.method);
    this.socket = res.socket;
    this.closed = new Promise((resolve) => res.once("close", resolve));
    const { socket } = this;
    const onReceived = ({ length }: Buffer) => this.onReceived(length);
    socket.on("data", onReceived);
    res.once("close", () => {
      socket.off("data", onReceived);
      this.setBuffered(0);
    });
    res.on("error", ({ message }) => this.onError(message));
    if (this.framing === "connection")
      onResetAtEnd(res, () => this.onError("the connection was reset"));
  }

  get address(): string {
    return this.options.address;
  }

  /** Records that the connection failed. */
  onError(why: string): void {
    this.error ??= why;
  }

  /** Reads the body, as far as it arrives. */
  read(onChunk: (chunk: Buffer) => void): void {
    this.res.on("data", (chunk: Buffer) => {
      this.framingBytes = 0;
      onChunk(chunk);
    });
  }

  /** Ends the reply as cut, though its body may have arrived whole. */
  drop(why: string): void {
    this.onError(why);
    this.res.destroy();
  }

  /** Reads the rest of the body unseen; a long one costs its connection. */
  discard(): void {
    let size = 0;
    const timer = setTimeout(() => this.res.destroy(), DISCARD_TIMEOUT_MS);
    timer.unref();
    this.read((chunk) => {
      size += chunk.length;
      if (size > MAX_DISCARDED_BYTES) this.res.destroy();
    });
    this.res.once("close", () => clearTimeout(timer));
  }

  /** To be called by the reader of the body with what it keeps, bytes. */
  setBuffered(bytes: number): void {
    this.options.buffers.set(this, bytes);
  }

  /**
   * Resolves once the body has ended and it is known whether it is whole. To be
   * used instead of `res.complete`: Node counts a body that ends with its
   * connection as complete, however that ended.
   */
  ended(): Promise<BodyEnd> {
    this.judged ??= this.closed.then(() => this.judge());
    return this.judged;
  }

  /**
   * Whether the replica has ended since, to be asked some time after a whole
   * answer: its connection was closed, and its address refuses connections.
   */
  async hasReplicaEnded(): Promise<boolean> {
    return this.socket.destroyed && (await this.options.isRefused());
  }

  /** Node has parsed these bytes, and `read` has got what they brought. */
  private onReceived(bytes: number): void {
    this.framingBytes += bytes;
    if (this.framingBytes > MAX_FRAMING_BYTES)
      this.drop("too many bytes without any of the body");
  }

  private async judge(): Promise<BodyEnd> {
    const fault = this.contentFault() ?? this.error;
    if (fault !== undefined) return cut(fault);
    const { complete, readableEnded } = this.res;
    if (!complete) return cut("the answer was cut");
    // Received to its end, but dropped before all of it was read.
    if (!readableEnded) return cut("the answer was not read to its end");
    if (this.framing !== "connection") return WHOLE;
    // A process that ends closes its connections like one that has answered.
    const hasEnded = await this.options.isRefused();
    return hasEnded ? cut("the replica ended with its answer") : WHOLE;
  }
}

export type WholeBody = { kind: "whole"; body: Buffer } | BodyCut;
type BodyCut = Extract<BodyEnd, { kind: "cut" }>;

const EVENT_STREAM = /^text\/event-stream\b/i;

const isEventStream = ({ headers }: IncomingMessage): boolean =>
  EVENT_STREAM.test(headers["content-type"] ?? "");

const endsInsideEvent = (body: Buffer): boolean => {
  const splitter = new EventSplitter();
  splitter.push(body);
  return splitter.isInsideEvent;
};

/** Reads a whole response body; `cut` if it was truncated or is too large. */
export const readWholeBody = async (
  reply: UpstreamReply,
  maxBytes: number,
): Promise<WholeBody> => {
  const { res, framing } = reply;
  const received = new ByteBlocks();
  let body: Buffer | undefined;
  reply.contentFault = () => {
    if (received.size > maxBytes) return `answer is over ${maxBytes} bytes`;
    if (framing !== "connection") return undefined;
    body ??= received.take();
    if (isHalfJson(res, body)) return "the answer ends inside its JSON";
    const isInside = isEventStream(res) && endsInsideEvent(body);
    return isInside ? "the stream ended inside an event" : undefined;
  };
  reply.read((chunk) => {
    received.append(chunk);
    reply.setBuffered(received.size);
    if (received.size > maxBytes) res.destroy();
  });
  const end = await reply.ended();
  return end.kind === "cut"
    ? end
    : { kind: "whole", body: body ?? received.take() };
};
