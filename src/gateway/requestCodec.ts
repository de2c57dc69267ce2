/** The outer form of requests and answers, as a port: names and codes only. */
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";

import type { RequestFailure } from "../shared/errors.js";
import type { HeldPart, Stage } from "../scheduling/index.js";
import type {
  EngineReport,
  InboundHead,
  ReadHandle,
  Replica,
  ReplicaSignal,
  ReplyHead,
  UpstreamSend,
} from "./types.js";

/** A failure in the form that callers understand. */
export interface FailureAnswer {
  status: number;
  /** Names and values in turn. */
  headers: string[];
  body: string;
}

/** A call to a replica outside of requests. */
export interface ReplicaCall {
  method: string;
  target: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer;
}

export interface RequestCodec {
  /** Decodes a caller's head; a failure if it can't be served. */
  decode(req: IncomingMessage): InboundHead | RequestFailure;
  /** Headers of a send to a replica, names and values in turn. */
  upstreamHeaders(
    head: InboundHead,
    send: UpstreamSend,
    bodyBytes: number,
  ): string[];
  readReply(status: number, headers: IncomingHttpHeaders): ReplyHead;
  /** What any answer at a replica's address says of that replica. */
  readSignal(status: number, headers: IncomingHttpHeaders): ReplicaSignal;
  /** Names of headers of a replica's answer that this version does not know. */
  unknownHeaders(headers: IncomingHttpHeaders): string[];
  /** Headers of a replica's answer that callers get. */
  answerHeaders(rawHeaders: readonly string[]): string[];
  failureAnswer(failure: RequestFailure, requestId: string): FailureAnswer;
  /** The handle in the answer to a `read`; undefined if it holds none. */
  readHandle(address: string, body: string): ReadHandle | undefined;
  /** Path of the call that frees a handle at the replica that holds it. */
  freeHandlePath(handle: ReadHandle): string;
  /** Asks an engine what it does. */
  reportCall(replica: Replica): ReplicaCall;
  /** Throws where the body is no report. */
  readReport(body: string): EngineReport;
  /** Asks an engine which parts of prompts its cache holds. */
  cacheListCall(replica: Replica): ReplicaCall;
  /** Throws where the body is no such list. */
  readCacheList(body: string): HeldPart[];
  /**
   * The order to change a replica's stage; `fence` grows with holders, and
   * the replica refuses if it has not taken just `expectedOrders` before.
   */
  stageOrder(
    replica: Replica,
    stage: Stage,
    holder: string,
    fence: number,
    expectedOrders: number,
  ): ReplicaCall;
}

/** Whether decoding gave a failure. */
export const isFailure = (
  value: InboundHead | RequestFailure,
): value is RequestFailure => "verdict" in value;
