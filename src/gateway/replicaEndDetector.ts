/**
 * Detects unplanned ends of replicas, as opposed to interrupted responses. An
 * interrupted response alone proves little, since replicas drop responses and
 * connections reset. An end is confirmed if the replica's address refuses
 * connections, or if the replica leaves the list soon afterwards.
 */
import { setTimeout as setTimeoutPromise } from "node:timers/promises";

import { LRUCache } from "lru-cache";

import type { SuspectRequest } from "../quarantine/index.js";
import { Cancellation } from "../shared/cancellation.js";
import { nextEventLoopTurn } from "../shared/utils.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { Replica, UpstreamSend } from "./types.js";
import type { ReplicaOutcome } from "./replicaClient.js";
import type { UpstreamClient } from "./upstreamClient.js";
import type { UpstreamReply } from "./upstreamReply.js";

/**
 * A replica removed from the list within this time of an interrupted response
 * ended then, ms: an entry expires after three heartbeats of up to 1.5 s.
 */
const CONFIRM_MS = 5000;
/**
 * A request whose caller disconnected at most this long before the replica
 * ended may still have run there, ms; most replicas drop it at once.
 */
const CALLER_LEFT_MS = 1000;
/**
 * A replica has survived a run if it has not ended this long after it, ms: one
 * that ends behind a whole answer ended of it.
 */
const SURVIVAL_MS = 100;
/** Interval between probes of one address, ms; interruptions come in bursts. */
const PROBE_INTERVAL_MS = 100;
/**
 * Probes after an interruption while nothing confirms the end: a replica that
 * ends may close its connections before it stops listening.
 */
const PROBES = 3;
/** Maximum number of replicas whose interrupted responses are kept. */
const MAX_REPLICAS = 256;
/** Maximum number of requests kept per replica, which has no more slots. */
const MAX_REQUESTS = 256;
/** Maximum number of digests, and of parts, in one log line. */
const MAX_LOGGED = 8;

const logged = (names: readonly string[]): string =>
  [...new Set(names)].slice(0, MAX_LOGGED).join(",");

/** Of a run that was not cancelled before its end. */
const NOT_CANCELLED = new Cancellation();

/** What confirmed the end of a replica. */
export type EndEvidence = "nobody listens" | "left the list";

export interface ReplicaEnd {
  replica: Replica;
  evidence: EndEvidence;
  /** The requests whose responses were interrupted. */
  requests: SuspectRequest[];
}

export interface ReplicaEndDetectorOptions {
  replicas: ReplicaSet;
  client: UpstreamClient;
  log: Log;
  metrics: Metrics;
  now: () => number;
}

interface InterruptedRequest extends SuspectRequest {
  /** Instant of the interruption, ms. */
  at: number;
  /** Instant until which an end is attributed to the request, ms. */
  until: number;
}

/** Interrupted responses of one replica, and whether its end is confirmed. */
interface InterruptedResponses {
  replica: Replica;
  /** By digest. */
  requests: Map<string, InterruptedRequest>;
  evidence: EndEvidence | undefined;
  /** A probe is running, or finished less than an interval ago. */
  isProbing: boolean;
  /** Probes still to be made. */
  probesLeft: number;
}

export class ReplicaEndDetector {
  private readonly interrupted = new Map<string, InterruptedResponses>();
  /** Replicas as they were when they left the list, by id. */
  private readonly removed = new LRUCache<string, Replica>({
    max: MAX_REPLICAS,
  });
  /** Requests with a run whose replica's survival is not known yet. */
  private readonly pending = new Map<CallerRequest, Promise<void>>();
  /** Called for each end, and for requests attributed to it later. */
  onEnd: (end: ReplicaEnd) => void = () => undefined;
  /**
   * Called when a run completed; returns what to call if its replica ended right
   * behind it.
   */
  onCompleted: (caller: CallerRequest, isGood: boolean) => () => void =
    () => () =>
      undefined;
  /** Called when the replica of a completed run did not end behind it. */
  onSurvived: (caller: CallerRequest, isGood: boolean) => void = () =>
    undefined;

  constructor(private readonly options: ReplicaEndDetectorOptions) {}

  /**
   * Watches one send until its end. `cancellation`: cancelled once this process
   * has closed the connection.
   */
  track(
    caller: CallerRequest,
    replica: Replica,
    phase: UpstreamSend["phase"],
    outcome: ReplicaOutcome,
    cancellation = caller.cancellation,
  ): void {
    const onInterrupted = () =>
      this.onInterrupted(caller, replica, cancellation);
    if (outcome.kind === "failed") {
      if (outcome.verdict !== "not-run") onInterrupted();
      return;
    }
    const { kind, reply } = outcome;
    void reply.ended().then((end) => {
      const isRefused = kind === "refused";
      if (end.kind === "cut" && !isRefused) return onInterrupted();
      if (end.kind === "cut") return;
      this.onCompleteAnswer(replica);
      if (phase !== "run" || isRefused) return;
      const judged = this.judgeSurvival(caller, replica, reply);
      this.pending.set(caller, judged);
      void judged.then(() => this.pending.delete(caller));
    });
  }

  /**
   * Resolves once it is known whether a replica survived the request's run; at
   * once if no run of it has completed lately.
   */
  async survivalKnown(caller: CallerRequest): Promise<void> {
    await this.pending.get(caller);
  }

  private async judgeSurvival(
    caller: CallerRequest,
    replica: Replica,
    reply: UpstreamReply,
  ): Promise<void> {
    const { statusCode = 0 } = reply.res;
    const isGood = statusCode >= 200 && statusCode < 300;
    const takeBack = this.onCompleted(caller, isGood);
    await setTimeoutPromise(SURVIVAL_MS, undefined, { ref: false });
    // After a stall of this process the end may already be buffered.
    await nextEventLoopTurn();
    const record = this.interrupted.get(replica.id);
    const hasEnded = record?.evidence !== undefined;
    if (!hasEnded && !(await reply.hasReplicaEnded()))
      return this.onSurvived(caller, isGood);
    takeBack();
    this.onInterrupted(caller, replica, NOT_CANCELLED);
  }

  /** The replica went silent; it may have ended with its connections open. */
  onStalled(caller: CallerRequest, replicaId: string): void {
    const replica = this.options.replicas.get(replicaId);
    if (replica !== undefined) this.onInterrupted(caller, replica);
  }

  /** A replica was removed from the list. */
  onReplicaRemoved(replica: Replica): void {
    this.removed.set(replica.id, replica);
    const record = this.interrupted.get(replica.id);
    if (record === undefined || replica.state !== "ready") return;
    this.confirm(record, "left the list");
  }

  /** A complete response disproves an end that had been confirmed. */
  private onCompleteAnswer(replica: Replica): void {
    if (this.interrupted.get(replica.id)?.evidence === undefined) return;
    this.interrupted.delete(replica.id);
  }

  private onInterrupted(
    caller: CallerRequest,
    replica: Replica,
    cancellation = caller.cancellation,
  ): void {
    // A replica that was leaving has ended as planned.
    const { id } = replica;
    const listed = this.options.replicas.get(id) ?? this.removed.get(id);
    if (listed?.state !== "ready") return;
    const now = this.options.now();
    const record = this.recordFor(replica);
    // If the send was cancelled, this process closed the connection.
    const hasLeft = cancellation.isCancelled;
    const until = now + (hasLeft ? CALLER_LEFT_MS : CONFIRM_MS);
    const { digest, partKeys: parts } = caller;
    const request = { digest, parts, at: now, until };
    this.remember(record, request);
    if (record.evidence !== undefined) {
      if (!hasLeft) this.report(record, [request]);
      return;
    }
    if (hasLeft) return;
    record.probesLeft = PROBES;
    this.probe(record);
  }

  private remember(
    { requests }: InterruptedResponses,
    request: InterruptedRequest,
  ): void {
    const now = this.options.now();
    if (requests.size >= MAX_REQUESTS) {
      for (const [known, { until }] of requests) {
        if (until < now) requests.delete(known);
      }
    }
    const { digest } = request;
    const known = requests.get(digest);
    if (requests.size >= MAX_REQUESTS && known === undefined) return;
    const until = Math.max(request.until, known?.until ?? 0);
    requests.set(digest, { ...request, until });
  }

  private recordFor(replica: Replica): InterruptedResponses {
    const id = replica.id;
    const record = this.interrupted.get(id);
    if (record !== undefined) return record;
    const fresh: InterruptedResponses = {
      replica,
      requests: new Map(),
      evidence: undefined,
      isProbing: false,
      probesLeft: 0,
    };
    this.interrupted.set(id, fresh);
    const [oldest] = this.interrupted.keys();
    if (this.interrupted.size > MAX_REPLICAS && oldest !== undefined) {
      this.interrupted.delete(oldest);
    }
    return fresh;
  }

  /** If the address still accepts connections, the list may confirm the end. */
  private probe(record: InterruptedResponses): void {
    if (record.isProbing || record.probesLeft === 0) return;
    record.isProbing = true;
    record.probesLeft -= 1;
    void this.options.client.probe(record.replica.address).then((found) => {
      if (found === "refused") return this.confirm(record, "nobody listens");
      setTimeout(() => {
        record.isProbing = false;
        this.probe(record);
      }, PROBE_INTERVAL_MS).unref();
    });
  }

  private confirm(record: InterruptedResponses, evidence: EndEvidence): void {
    if (record.evidence !== undefined) return;
    record.evidence = evidence;
    this.options.metrics.count("replica_ended", { how: evidence });
    const now = this.options.now();
    const there = [...record.requests.values()];
    this.report(
      record,
      there.filter(({ until }) => until >= now),
    );
  }

  private report(
    { replica, evidence }: InterruptedResponses,
    requests: readonly InterruptedRequest[],
  ): void {
    if (evidence === undefined || requests.length === 0) return;
    const now = this.options.now();
    this.options.log.info("replica ended", {
      replica: replica.id,
      address: replica.address,
      evidence,
      requests: requests.length,
      digests: logged(requests.map(({ digest }) => digest)),
      parts: logged(requests.flatMap(({ parts }) => parts)),
    });
    const suspects = requests.map(({ digest, parts, at }) => ({
      digest,
      parts,
      agoMs: now - at,
    }));
    this.onEnd({ replica, evidence, requests: suspects });
  }
}
