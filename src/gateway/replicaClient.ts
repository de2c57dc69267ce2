/**
 * Sends all requests to replicas. It records the signals in every response, and
 * checks them again just before work is sent, since replicas are chosen
 * earlier, elsewhere and on older signals: a run is granted while its prompt is
 * still being prefilled on another engine, and a request may wait for a
 * connection.
 */
import { LRUCache } from "lru-cache";

import type { RateLimits, RateNews } from "../rateLimits/index.js";
import type { Log, LogFields, Metrics } from "../telemetry/index.js";
import type { ReplicaSet } from "./replicaSet.js";
import { isOwnReply, judgeReply } from "./replyJudgement.js";
import type { RequestCodec } from "./requestCodec.js";
import type { Replica, ReplicaSignal, ReplyHead } from "./types.js";
import { UnknownHeaders } from "./unknownHeaders.js";
import type {
  SendFailure,
  UpstreamClient,
  UpstreamRequest,
} from "./upstreamClient.js";
import type { UpstreamReply } from "./upstreamReply.js";

/**
 * How long a replica is left out after a refused connection, ms, before one
 * request probes it; a restart takes seconds.
 */
const REFUSED_BACK_OFF_MS = 1000;
/** Maximum length of a logged header value, characters; the rest is cut off. */
const MAX_LOGGED_CHARS = 80;
/** Replicas whose last unparsable signal is kept, to log each only once. */
const MAX_UNPARSED = 1024;
const AT_LIMIT = "the replica takes no more for the moment";

/** Log messages for new signals of a replica. */
const SIGNAL_MESSAGES = {
  leaving: "replica is leaving",
  "backing-off": "replica asks for back-off",
} as const;

/**
 * `work`: a request, an order, or a query that uses the replica's capacity.
 * `question`: a query that does not.
 */
export type SendPurpose = "work" | "question";

/** One send to a replica. */
export interface ReplicaSend extends Omit<
  UpstreamRequest,
  "service" | "address"
> {
  purpose: SendPurpose;
  /** Id that the reply must carry; absent for calls that carry none. */
  requestId?: string;
  /** Whether a success must bear the replica's signature; false if absent. */
  mustBeSigned?: boolean;
  /**
   * Instant of the permit acquired when the replica was chosen, ms; absent if
   * there is none. This process then needs its own if the replica is limited.
   */
  permitAt?: number;
}

/** How a send ended, as far as the head of its reply shows. */
export type ReplicaOutcome =
  | SendFailure
  /** The replica proved that it did not run the request. */
  | { kind: "refused"; head: ReplyHead; reply: UpstreamReply }
  /** The request's own answer, with a body that is still to be read. */
  | { kind: "answered"; head: ReplyHead; reply: UpstreamReply };

/** Whether it is proved that the replica did not run the request. */
export const hasNotRun = (outcome: ReplicaOutcome): boolean =>
  outcome.kind === "refused" ||
  (outcome.kind === "failed" && outcome.verdict === "not-run");

/** The facts about a sent request that its reply is checked against. */
interface SentRequest {
  purpose: SendPurpose;
  requestId: string | undefined;
  mustBeSigned: boolean;
  /** Instant at which it was sent, ms. */
  sentAt: number;
}

export interface ReplicaClientOptions {
  client: UpstreamClient;
  replicas: ReplicaSet;
  rates: RateLimits;
  codec: RequestCodec;
  log: Log;
  metrics: Metrics;
  now: () => number;
}

export class ReplicaClient {
  private readonly loggedUnparsed = new LRUCache<string, string>({
    max: MAX_UNPARSED,
  });
  private readonly unknownHeaders: UnknownHeaders;
  /** Called when a replica newly signals that it is leaving. */
  onLeaving: (replica: Replica) => void = () => undefined;
  /** Called when the rate limit that a replica announces changes. */
  onRateChange: (news: RateNews) => void = () => undefined;

  constructor(private readonly options: ReplicaClientOptions) {
    const { log, metrics } = options;
    this.unknownHeaders = new UnknownHeaders(log, metrics);
  }

  /** Resolves with the judged reply, or with what is known of the failure. */
  async send(replica: Replica, send: ReplicaSend): Promise<ReplicaOutcome> {
    const { client, now } = this.options;
    const { service, address } = replica;
    const {
      purpose,
      requestId,
      permitAt,
      mustBeSigned = false,
      ...request
    } = send;
    const isWork = purpose === "work";
    const why = isWork ? this.refusal(replica) : undefined;
    if (why !== undefined) {
      return { kind: "failed", verdict: "not-run", why, isUnavailable: true };
    }
    let sentAt = now();
    const refusal = (): string | undefined => {
      sentAt = now();
      return isWork ? this.refusalNow(replica, permitAt) : undefined;
    };
    const outcome = await client.send({
      ...request,
      service,
      address,
      refusal,
    });
    if (outcome.kind === "reply")
      return this.judge(
        replica,
        { purpose, requestId, mustBeSigned, sentAt },
        outcome,
      );
    if (outcome.isRefused === true) this.onConnectionRefused(replica);
    return outcome;
  }

  private judge(
    replica: Replica,
    sent: SentRequest,
    reply: UpstreamReply,
  ): ReplicaOutcome {
    const { statusCode = 0, headers } = reply.res;
    const head = this.options.codec.readReply(statusCode, headers);
    this.handleReply(replica, sent, reply, head);
    const judgement = judgeReply(head, sent);
    switch (judgement.kind) {
      case "own":
        return { kind: "answered", head, reply };
      case "refused":
        reply.discard();
        return { kind: "refused", head, reply };
      case "unusable":
        reply.drop(judgement.why);
        return {
          kind: "failed",
          verdict: "may-have-run",
          why: judgement.why,
        };
    }
  }

  /** Why it gets no work at the moment; undefined if it may. */
  refusal({ id }: Replica): string | undefined {
    const { replicas, now } = this.options;
    return replicas.signals.refusal(id, now());
  }

  /** Like `refusal`, for work that is sent now; checks the rate limit too. */
  private refusalNow(
    { id }: Replica,
    permitAt = -Infinity,
  ): string | undefined {
    const { replicas, rates, metrics, now } = this.options;
    const why = replicas.signals.refusalAtSend(id, now());
    if (why !== undefined) {
      metrics.count("kept_from_unavailable", {});
      return why;
    }
    if (!rates.isLimited(id, now())) return undefined;
    const isPermitted = rates.isPermitValid(id, permitAt, now());
    if (!isPermitted && !rates.acquire(id, now())) {
      metrics.count("kept_from_limited", {});
      return AT_LIMIT;
    }
    metrics.count("sent_to_limited", {});
    return undefined;
  }

  private handleReply(
    replica: Replica,
    sent: SentRequest,
    { res }: UpstreamReply,
    head: ReplyHead,
  ): void {
    const { replicas, codec, log, metrics, now } = this.options;
    const { status } = head;
    const signal = codec.readSignal(status, res.headers);
    const isProven = isOwnReply(head, sent);
    const { id, service, address } = replica;
    if (!isProven) this.logForeign(replica, sent, head);
    this.logUnparsed(id, signal);
    this.unknownHeaders.report(codec.unknownHeaders(res.headers), id);
    const fields = { replica: id, service, address, status, isProven };
    const isGood = isProven && status >= 200 && status < 300;
    this.updateRateLimit(id, sent, signal, isGood, fields);
    const change = replicas.signals.record(id, signal, isProven, now());
    if (change === undefined) return;
    metrics.count("replica_signal", { kind: change });
    const { backOffMs } = signal;
    log.info(SIGNAL_MESSAGES[change], { ...fields, backOffMs });
    if (change === "leaving" && isProven) this.onLeaving(replica);
  }

  /** The reply has another request's id than the one it came for, or none. */
  private logForeign(
    { id: replica }: Replica,
    { requestId }: SentRequest,
    { requestId: replyId, status, isNotRun }: ReplyHead,
  ): void {
    const { log, metrics } = this.options;
    metrics.count("foreign_reply", { isNotRun: String(isNotRun) });
    const fields = { requestId, replica, replyId, status, isNotRun };
    log.info("reply is not that of its request", fields);
  }

  /**
   * The connection was refused. The entry stays listed for seconds, and if it
   * is the last of its stage, every request would try it.
   */
  private onConnectionRefused({ id }: Replica): void {
    const { replicas, metrics, now } = this.options;
    const signal = { isLeaving: false, backOffMs: REFUSED_BACK_OFF_MS };
    const change = replicas.signals.record(id, signal, true, now());
    if (change !== undefined) metrics.count("replica_refused", {});
  }

  /** `isGood`: the response is the request's own, with a 2xx status. */
  private updateRateLimit(
    id: string,
    { purpose, sentAt }: SentRequest,
    { limitPerS, unreadLimit }: ReplicaSignal,
    isGood: boolean,
    fields: LogFields,
  ): void {
    const { rates, log, metrics, now } = this.options;
    const mayEnd = purpose === "work" && isGood && unreadLimit === undefined;
    const announced = { perS: limitPerS, mayEnd, sentAt };
    const news = rates.recordAnswer(id, announced, now());
    if (news === undefined) return;
    const isEnd = news.endedAgoMs !== undefined;
    metrics.count("replica_signal", { kind: isEnd ? "unlimited" : "limited" });
    if (isEnd) log.info("replica names no rate limit any more", fields);
    else log.info("replica names a rate limit", { ...fields, limitPerS });
    this.onRateChange(news);
  }

  private logUnparsed(replica: string, signal: ReplicaSignal): void {
    const { unreadBackOff, unreadLimit } = signal;
    if (unreadBackOff !== undefined)
      this.logUnparsedText(replica, "back-off can't be read", unreadBackOff);
    if (unreadLimit !== undefined)
      this.logUnparsedText(replica, "rate limit can't be read", unreadLimit);
  }

  private logUnparsedText(
    replica: string,
    message: string,
    text: string,
  ): void {
    if (this.loggedUnparsed.get(replica) === text) return;
    this.loggedUnparsed.set(replica, text);
    const said = text.slice(0, MAX_LOGGED_CHARS);
    this.options.log.warn(message, { replica, said });
  }
}
