/**
 * The one way to replicas: what each answer says of its replica is heard
 * here, whatever it was sent for, and looked at in the instant before work
 * leaves. Choices are made earlier, by others and on older signals: a run is
 * granted while its prompt is still read elsewhere, and a request may wait
 * for a connection.
 */
import type { IncomingMessage } from "node:http";

import { LRUCache } from "lru-cache";

import type { Log, Metrics } from "../telemetry/index.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { RequestForm } from "./requestForm.js";
import type { Replica, ReplicaSignal } from "./types.js";
import { UnknownHeaders } from "./unknownHeaders.js";
import type {
  SendOutcome,
  UpstreamClient,
  UpstreamRequest,
} from "./upstreamClient.js";

/**
 * A replica at whose address nobody listens is left out for this, ms, and then
 * probed by one send: a restart takes seconds.
 */
const REFUSED_MS = 1000;
/** Of a header in a log line. */
const MAX_LOGGED_CHARS = 80;
/** Replicas whose unreadable signals are remembered, to log each once. */
const MAX_UNREAD = 1024;
/** Replicas whose limits are remembered. */
const MAX_LIMITS = 8192;

/** Log lines of what a replica has come to say. */
const MESSAGES = {
  leaving: "replica is leaving",
  "backing-off": "replica asks for back-off",
} as const;

/**
 * `work`: a request, an order, or a question that holds up the replica.
 * `question`: one that takes nothing of it.
 */
export type SendPurpose = "work" | "question";

/** One send to a replica. */
export interface ReplicaSend extends Omit<
  UpstreamRequest,
  "service" | "address"
> {
  purpose: SendPurpose;
  /** Of the request that the answer must belong to; absent: of none. */
  requestId?: string;
}

export interface ReplicaClientOptions {
  client: UpstreamClient;
  replicas: ReplicaSet;
  form: RequestForm;
  log: Log;
  metrics: Metrics;
  now: () => number;
}

export class ReplicaClient {
  private readonly unread = new LRUCache<string, string>({ max: MAX_UNREAD });
  /** Limits that replicas name, a second, to log each change. */
  private readonly limits = new LRUCache<string, number>({ max: MAX_LIMITS });
  private readonly unknownHeaders: UnknownHeaders;
  /** Told of each replica that is heard to leave. */
  onLeaving: (replica: Replica) => void = () => undefined;

  constructor(private readonly options: ReplicaClientOptions) {
    const { log, metrics } = options;
    this.unknownHeaders = new UnknownHeaders(log, metrics);
  }

  /** Resolves with the head of the answer, or with what is known instead. */
  async send(replica: Replica, order: ReplicaSend): Promise<SendOutcome> {
    const { client } = this.options;
    const { service, address } = replica;
    const { purpose, requestId, ...request } = order;
    const isWork = purpose === "work";
    const why = isWork ? this.refusal(replica) : undefined;
    if (why !== undefined) {
      return { kind: "failed", verdict: "not-run", why, isUnavailable: true };
    }
    const refusal = isWork ? () => this.refusalNow(replica) : undefined;
    const outcome = await client.send({
      ...request,
      service,
      address,
      refusal,
    });
    if (outcome.kind === "reply") this.note(replica, requestId, outcome.res);
    else if (outcome.isRefused === true) this.noteRefused(replica);
    return outcome;
  }

  /** Why it gets no work at the moment; undefined: it may. */
  refusal({ id }: Replica): string | undefined {
    const { replicas, now } = this.options;
    return replicas.signals.refusal(id, now());
  }

  /** The same for work that leaves now. */
  private refusalNow({ id }: Replica): string | undefined {
    const { replicas, metrics, now } = this.options;
    const why = replicas.signals.take(id, now());
    if (why !== undefined) metrics.count("kept_from_unavailable", {});
    else if (this.limits.has(id)) metrics.count("sent_to_limited", {});
    return why;
  }

  private note(
    replica: Replica,
    requestId: string | undefined,
    res: IncomingMessage,
  ): void {
    const { replicas, form, log, metrics, now } = this.options;
    const status = res.statusCode ?? 0;
    const signal = form.readSignal(status, res.headers);
    const { requestId: answered } = form.readReply(status, res.headers);
    const isOther = answered !== undefined && answered !== requestId;
    const isProven = requestId === undefined || !isOther;
    const { id, service, address } = replica;
    if (signal.unreadBackOff !== undefined)
      this.logUnread(id, "back-off can't be read", signal.unreadBackOff);
    if (signal.unreadLimit !== undefined)
      this.logUnread(id, "rate limit can't be read", signal.unreadLimit);
    this.unknownHeaders.note(form.unknownHeaders(res.headers), id);
    this.noteLimit(replica, signal, status, isProven);
    const change = replicas.signals.note(id, signal, isProven, now());
    if (change === undefined) return;
    metrics.count("replica_signal", { kind: change });
    const { backOffMs } = signal;
    const fields = {
      replica: id,
      service,
      address,
      status,
      isProven,
      backOffMs,
    };
    log.info(MESSAGES[change], fields);
    if (change === "leaving" && isProven) this.onLeaving(replica);
  }

  /**
   * Nobody listens there. Its entry stays listed for seconds, and where it is
   * the last of its stage every request would try it: on a day with three of
   * eight engines ended under one request, 467 of some 640 requests that were
   * not served ended so.
   */
  private noteRefused({ id }: Replica): void {
    const { replicas, metrics, now } = this.options;
    const signal = { isLeaving: false, backOffMs: REFUSED_MS };
    const change = replicas.signals.note(id, signal, true, now());
    if (change !== undefined) metrics.count("replica_refused", {});
  }

  /** Logs each change of what it takes; no word of it on work ends a limit. */
  private noteLimit(
    { id, service, address }: Replica,
    { limitPerS }: ReplicaSignal,
    status: number,
    isProven: boolean,
  ): void {
    const { log, metrics } = this.options;
    const known = this.limits.get(id);
    if (limitPerS === known) return;
    const fields = { replica: id, service, address, status, isProven };
    if (limitPerS === undefined) {
      this.limits.delete(id);
      return log.info("replica names no rate limit any more", fields);
    }
    this.limits.set(id, limitPerS);
    metrics.count("replica_signal", { kind: "limited" });
    log.info("replica names a rate limit", { ...fields, limitPerS });
  }

  private logUnread(replica: string, message: string, text: string): void {
    if (this.unread.get(replica) === text) return;
    this.unread.set(replica, text);
    const said = text.slice(0, MAX_LOGGED_CHARS);
    this.options.log.warn(message, { replica, said });
  }
}
