/**
 * Port for the platform's HTTP protocol: header names, status codes and body
 * formats of requests and responses. It holds no serving logic.
 */
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";

import type { RequestFailure } from "../shared/errors.js";
import type { HeldPart, Stage } from "../scheduling/index.js";
import type {
  EngineReport,
  InboundHead,
  PrefillHandle,
  Replica,
  ReplicaSignal,
  ReplyHead,
  UpstreamSend,
} from "./types.js";

/** A failure encoded as an HTTP response. */
export interface FailureAnswer {
  status: number;
  /** Alternating names and values. */
  headers: string[];
  body: string;
}

/** A control call to a replica, not part of a caller's request. */
export interface ReplicaCall {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer;
}

export interface RequestCodec {
  /** Decodes the head of a caller's request; a failure if it is invalid. */
  decode(req: IncomingMessage): InboundHead | RequestFailure;
  /** Headers of a request to a replica, as alternating names and values. */
  upstreamHeaders(
    head: InboundHead,
    send: UpstreamSend,
    bodyBytes: number,
  ): string[];
  readReply(status: number, headers: IncomingHttpHeaders): ReplyHead;
  /** What a response from a replica's address says about that replica. */
  readSignal(status: number, headers: IncomingHttpHeaders): ReplicaSignal;
  /** Names of response headers that this version does not know. */
  unknownHeaders(headers: IncomingHttpHeaders): string[];
  /** Headers of a replica's response that are passed on to callers. */
  responseHeaders(rawHeaders: readonly string[]): string[];
  failureAnswer(failure: RequestFailure, requestId: string): FailureAnswer;
  /** The handle in the response to a `read`; undefined if there is none. */
  readHandle(address: string, body: string): PrefillHandle | undefined;
  /** Path of the call that frees a handle on the replica that holds it. */
  freeHandlePath(handle: PrefillHandle): string;
  /** Requests an engine's status report. */
  reportCall(replica: Replica): ReplicaCall;
  /** Throws if the body is not a report. */
  readReport(body: string): EngineReport;
  /** Requests the list of prompt parts in an engine's cache. */
  cacheListCall(replica: Replica): ReplicaCall;
  /** Throws if the body is not a cache list. */
  readCacheList(body: string): HeldPart[];
  /**
   * The order to change a replica's stage. `fence` is a fencing token that
   * increases with each lease holder. The replica refuses the order unless it
   * has taken exactly `expectedOrders` orders before.
   */
  stageOrder(
    replica: Replica,
    stage: Stage,
    holder: string,
    fence: number,
    expectedOrders: number,
  ): ReplicaCall;
}

/** Whether decoding failed. */
export const isFailure = (
  value: InboundHead | RequestFailure,
): value is RequestFailure => "verdict" in value;
