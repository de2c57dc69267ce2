/**
 * Tells the end of a replica from the loss of single answers. An answer that
 * breaks off says little: replicas lose answers, links reset. Evidence of an
 * end is an address at which nobody listens any more, or a list of replicas
 * that has lost it soon after.
 */
import type { IncomingMessage } from "node:http";

import type { Log, Metrics } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { Replica, UpstreamSend } from "./types.js";
import type { SendOutcome, UpstreamClient } from "./upstreamClient.js";

/**
 * A replica that the list loses within this time of a broken answer ended
 * then, ms: an entry lapses after three heartbeats of up to 1.5 s.
 */
const CONFIRM_MS = 5000;
/**
 * A request whose caller left so shortly before the end of its replica may
 * still have run there, ms; most replicas drop it at once.
 */
const CALLER_LEFT_MS = 1000;
/** Pause between two looks at one address, ms: answers break off in crowds. */
const PROBE_INTERVAL_MS = 100;
/** Replicas whose broken answers are remembered at the most. */
const MAX_REPLICAS = 256;
/** Requests of one replica that are remembered; it has no more slots. */
const MAX_REQUESTS = 256;
/** Digests in one log line. */
const MAX_LOGGED = 8;

/** How the end of a replica was found out. */
export type EndEvidence = "nobody listens" | "left the list";

export interface ReplicaEnd {
  replica: Replica;
  evidence: EndEvidence;
  /** Digests of the requests whose answers broke off. */
  requests: string[];
}

export interface ReplicaEndDetectorOptions {
  replicas: ReplicaSet;
  client: UpstreamClient;
  log: Log;
  metrics: Metrics;
  now: () => number;
}

/** What was at one replica when answers of it broke off. */
interface InterruptedAnswers {
  replica: Replica;
  /** By digest: until when an end counts as its own, ms. */
  requests: Map<string, number>;
  evidence: EndEvidence | undefined;
  /** Its address is looked at, or was a moment ago. */
  isProbing: boolean;
  /** An answer broke off after that look had begun. */
  mustProbeAgain: boolean;
}

export class ReplicaEndDetector {
  private readonly interrupted = new Map<string, InterruptedAnswers>();
  /** Told of each end, and of requests that turn out to have been there. */
  onEnd: (end: ReplicaEnd) => void = () => undefined;
  /** A run ended and its replica lived on. */
  onSurvived: (caller: CallerRequest) => void = () => undefined;

  constructor(private readonly options: ReplicaEndDetectorOptions) {}

  /** Follows one send to its end. `isRefused`: the replica did not run it. */
  track(
    caller: CallerRequest,
    replica: Replica,
    phase: UpstreamSend["phase"],
    outcome: SendOutcome,
    isRefused: (res: IncomingMessage) => boolean,
  ): void {
    if (outcome.kind === "failed") {
      if (outcome.verdict !== "not-run") this.onInterrupted(caller, replica);
      return;
    }
    const { res, isWhole } = outcome;
    res.once("close", () => {
      if (!isWhole()) return this.onInterrupted(caller, replica);
      this.onCompleteAnswer(replica);
      if (phase === "run" && !isRefused(res)) this.onSurvived(caller);
    });
  }

  /** It says nothing: an end that no connection tells of. */
  onStalled(caller: CallerRequest, replicaId: string): void {
    const replica = this.options.replicas.get(replicaId);
    if (replica !== undefined) this.onInterrupted(caller, replica);
  }

  /** The list has lost a replica. */
  onReplicaRemoved(replica: Replica): void {
    const known = this.interrupted.get(replica.id);
    if (known === undefined || replica.state !== "ready") return;
    this.confirm(known, "left the list");
  }

  /** It answers: whatever spoke for its end was something else. */
  private onCompleteAnswer(replica: Replica): void {
    if (this.interrupted.get(replica.id)?.evidence === undefined) return;
    this.interrupted.delete(replica.id);
  }

  private onInterrupted(caller: CallerRequest, replica: Replica): void {
    // One that was leaving has ended as planned.
    const listed = this.options.replicas.get(replica.id);
    if (listed?.state !== "ready") return;
    const now = this.options.now();
    const known = this.recordFor(replica);
    // Where the caller left, the connection was broken from here.
    const hasLeft = caller.cancellation.isCancelled;
    const until = now + (hasLeft ? CALLER_LEFT_MS : CONFIRM_MS);
    this.remember(known, caller.digest, until);
    if (known.evidence !== undefined) {
      if (!hasLeft) this.report(known, [caller.digest]);
      return;
    }
    if (!hasLeft) this.probe(known);
  }

  private remember(
    { requests }: InterruptedAnswers,
    digest: string,
    until: number,
  ): void {
    const now = this.options.now();
    if (requests.size >= MAX_REQUESTS) {
      for (const [known, limit] of requests) {
        if (limit < now) requests.delete(known);
      }
    }
    const isFull = requests.size >= MAX_REQUESTS;
    if (isFull && !requests.has(digest)) return;
    requests.set(digest, Math.max(until, requests.get(digest) ?? 0));
  }

  private recordFor(replica: Replica): InterruptedAnswers {
    const life = replica.id;
    const known = this.interrupted.get(life);
    if (known !== undefined) return known;
    const fresh: InterruptedAnswers = {
      replica,
      requests: new Map(),
      evidence: undefined,
      isProbing: false,
      mustProbeAgain: false,
    };
    this.interrupted.set(life, fresh);
    const [oldest] = this.interrupted.keys();
    if (this.interrupted.size > MAX_REPLICAS && oldest !== undefined) {
      this.interrupted.delete(oldest);
    }
    return fresh;
  }

  /** Where somebody listens still, the list may yet tell of its end. */
  private probe(known: InterruptedAnswers): void {
    known.mustProbeAgain = known.isProbing;
    if (known.isProbing) return;
    known.isProbing = true;
    void this.options.client.probe(known.replica.address).then((found) => {
      if (found === "refused") return this.confirm(known, "nobody listens");
      setTimeout(() => {
        known.isProbing = false;
        if (known.mustProbeAgain) this.probe(known);
      }, PROBE_INTERVAL_MS).unref();
    });
  }

  private confirm(known: InterruptedAnswers, evidence: EndEvidence): void {
    if (known.evidence !== undefined) return;
    known.evidence = evidence;
    this.options.metrics.count("replica_ended", { how: evidence });
    const now = this.options.now();
    const there = [...known.requests].filter(([, until]) => until >= now);
    this.report(
      known,
      there.map(([digest]) => digest),
    );
  }

  private report(
    { replica, evidence }: InterruptedAnswers,
    requests: string[],
  ): void {
    if (evidence === undefined || requests.length === 0) return;
    this.options.log.info("replica ended", {
      replica: replica.id,
      address: replica.address,
      evidence,
      requests: requests.length,
      digests: requests.slice(0, MAX_LOGGED).join(","),
    });
    this.onEnd({ replica, evidence, requests });
  }
}
