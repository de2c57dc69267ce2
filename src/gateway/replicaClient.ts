/**
 * The one way to replicas: what each answer says of its replica is heard
 * here, whatever it was sent for, and looked at in the instant before work
 * leaves. Choices are made earlier, by others and on older signals: a run is
 * granted while its prompt is still read elsewhere, and a request may wait
 * for a connection.
 */
import type { IncomingMessage } from "node:http";

import { LRUCache } from "lru-cache";

import type { RateLimits, RateNews } from "../rateLimits/index.js";
import type { Log, LogFields, Metrics } from "../telemetry/index.js";
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
/**
 * A permit is good for so long, ms. A send that is held up on its way, by a
 * read elsewhere or a wait for a connection, must not add to those that follow
 * it: with this and the stock of permits, what reaches a replica in any four
 * seconds stays below one and a half times its limit.
 */
const PERMIT_HOLDS_MS = 1500;
const AT_LIMIT = "the replica takes no more for the moment";

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
  /**
   * When whoever chose the replica had a permit for it; absent: nobody had,
   * and this process needs one of its own where the replica is limited.
   */
  permitAt?: number;
}

/** What was sent, as far as its answer is judged by it. */
interface Sent {
  purpose: SendPurpose;
  requestId: string | undefined;
  /** When it left. */
  leftAt: number;
}

export interface ReplicaClientOptions {
  client: UpstreamClient;
  replicas: ReplicaSet;
  rates: RateLimits;
  form: RequestForm;
  log: Log;
  metrics: Metrics;
  now: () => number;
}

export class ReplicaClient {
  private readonly unread = new LRUCache<string, string>({ max: MAX_UNREAD });
  private readonly unknownHeaders: UnknownHeaders;
  /** Told of each replica that is heard to leave. */
  onLeaving: (replica: Replica) => void = () => undefined;
  /** Told of each change of the rate that a replica says it takes. */
  onRate: (news: RateNews) => void = () => undefined;

  constructor(private readonly options: ReplicaClientOptions) {
    const { log, metrics } = options;
    this.unknownHeaders = new UnknownHeaders(log, metrics);
  }

  /** Resolves with the head of the answer, or with what is known instead. */
  async send(replica: Replica, order: ReplicaSend): Promise<SendOutcome> {
    const { client, now } = this.options;
    const { service, address } = replica;
    const { purpose, requestId, permitAt, ...request } = order;
    const isWork = purpose === "work";
    const why = isWork ? this.refusal(replica) : undefined;
    if (why !== undefined) {
      return { kind: "failed", verdict: "not-run", why, isUnavailable: true };
    }
    let leftAt = now();
    const refusal = (): string | undefined => {
      leftAt = now();
      return isWork ? this.refusalNow(replica, permitAt) : undefined;
    };
    const outcome = await client.send({
      ...request,
      service,
      address,
      refusal,
    });
    if (outcome.kind === "reply")
      this.note(replica, { purpose, requestId, leftAt }, outcome.res);
    else if (outcome.isRefused === true) this.noteRefused(replica);
    return outcome;
  }

  /** Why it gets no work at the moment; undefined: it may. */
  refusal({ id }: Replica): string | undefined {
    const { replicas, now } = this.options;
    return replicas.signals.refusal(id, now());
  }

  /** The same for work that leaves now. */
  private refusalNow(
    { id }: Replica,
    permitAt = -Infinity,
  ): string | undefined {
    const { replicas, rates, metrics, now } = this.options;
    const why = replicas.signals.take(id, now());
    if (why !== undefined) {
      metrics.count("kept_from_unavailable", {});
      return why;
    }
    if (!rates.isLimited(id, now())) return undefined;
    const isPermitted = now() - permitAt <= PERMIT_HOLDS_MS;
    if (!isPermitted && !rates.acquire(id, now())) {
      metrics.count("kept_from_limited", {});
      return AT_LIMIT;
    }
    metrics.count("sent_to_limited", {});
    return undefined;
  }

  private note(replica: Replica, sent: Sent, res: IncomingMessage): void {
    const { replicas, form, log, metrics, now } = this.options;
    const status = res.statusCode ?? 0;
    const signal = form.readSignal(status, res.headers);
    const reply = form.readReply(status, res.headers);
    const { requestId } = sent;
    const isOther =
      reply.requestId !== undefined && reply.requestId !== requestId;
    const isProven = requestId === undefined || !isOther;
    const { id, service, address } = replica;
    this.logUnread(id, signal);
    this.unknownHeaders.note(form.unknownHeaders(res.headers), id);
    const fields = { replica: id, service, address, status, isProven };
    const isGood = isProven && status >= 200 && status < 300;
    this.noteRate(id, sent, signal, isGood, fields);
    const change = replicas.signals.note(id, signal, isProven, now());
    if (change === undefined) return;
    metrics.count("replica_signal", { kind: change });
    const { backOffMs } = signal;
    log.info(MESSAGES[change], { ...fields, backOffMs });
    if (change === "leaving" && isProven) this.onLeaving(replica);
  }

  /**
   * Nobody listens there. Its entry stays listed for seconds, and where it is
   * the last of its stage every request would try it.
   */
  private noteRefused({ id }: Replica): void {
    const { replicas, metrics, now } = this.options;
    const signal = { isLeaving: false, backOffMs: REFUSED_MS };
    const change = replicas.signals.note(id, signal, true, now());
    if (change !== undefined) metrics.count("replica_refused", {});
  }

  /** `isGood`: it is the request's own answer, and a success. */
  private noteRate(
    id: string,
    { purpose, leftAt }: Sent,
    { limitPerS, unreadLimit }: ReplicaSignal,
    isGood: boolean,
    fields: LogFields,
  ): void {
    const { rates, log, metrics, now } = this.options;
    const mayEnd = purpose === "work" && isGood && unreadLimit === undefined;
    const word = { perS: limitPerS, mayEnd, sentAt: leftAt };
    const news = rates.recordAnswer(id, word, now());
    if (news === undefined) return;
    const isEnd = news.endedAgoMs !== undefined;
    metrics.count("replica_signal", { kind: isEnd ? "unlimited" : "limited" });
    if (isEnd) log.info("replica names no rate limit any more", fields);
    else log.info("replica names a rate limit", { ...fields, limitPerS });
    this.onRate(news);
  }

  private logUnread(replica: string, signal: ReplicaSignal): void {
    const { unreadBackOff, unreadLimit } = signal;
    if (unreadBackOff !== undefined)
      this.logUnreadText(replica, "back-off can't be read", unreadBackOff);
    if (unreadLimit !== undefined)
      this.logUnreadText(replica, "rate limit can't be read", unreadLimit);
  }

  private logUnreadText(replica: string, message: string, text: string): void {
    if (this.unread.get(replica) === text) return;
    this.unread.set(replica, text);
    const said = text.slice(0, MAX_LOGGED_CHARS);
    this.options.log.warn(message, { replica, said });
  }
}
