/**
 * Tells the end of a replica from the loss of single answers. An answer that
 * breaks off says little: replicas lose answers, links reset. Evidence of an
 * end is an address at which nobody listens any more, or a list of replicas
 * that has lost it soon after.
 */
import type { IncomingMessage } from "node:http";

import type { Cancellation } from "../shared/cancellation.js";
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

export interface ReplicaEndsOptions {
  replicas: ReplicaSet;
  client: UpstreamClient;
  log: Log;
  metrics: Metrics;
  now: () => number;
}

/** Requests whose answers broke off at one replica. */
interface BrokenAnswers {
  replica: Replica;
  /** Of the last one, ms. */
  at: number;
  requests: Set<string>;
  evidence: EndEvidence | undefined;
  isAsked: boolean;
}

export class ReplicaEnds {
  private readonly broken = new Map<string, BrokenAnswers>();
  /** Told of each end, and of requests that turn out to have been there. */
  onEnd: (end: ReplicaEnd) => void = () => undefined;
  /** A run ended and its replica lived on. */
  onSurvived: (caller: CallerRequest) => void = () => undefined;

  constructor(private readonly options: ReplicaEndsOptions) {}

  /** Follows one send to its end. `isRefused`: the replica did not run it. */
  follow(
    caller: CallerRequest,
    replica: Replica,
    phase: UpstreamSend["phase"],
    outcome: SendOutcome,
    cancellation: Cancellation,
    isRefused: (res: IncomingMessage) => boolean,
  ): void {
    const onBroken = (): void => {
      if (!cancellation.isCancelled) this.noteBroken(caller, replica);
    };
    if (outcome.kind === "failed") {
      if (outcome.verdict !== "not-run") onBroken();
      return;
    }
    const { res, isWhole } = outcome;
    res.once("close", () => {
      if (!isWhole()) return onBroken();
      if (phase === "run" && !isRefused(res)) this.onSurvived(caller);
    });
  }

  /** The list has lost a replica. */
  onGone(replica: Replica): void {
    const known = this.broken.get(replica.id);
    if (known === undefined || replica.state !== "ready") return;
    if (this.options.now() - known.at > CONFIRM_MS) return;
    this.confirm(known, "left the list");
  }

  private noteBroken(caller: CallerRequest, replica: Replica): void {
    // One that was leaving has ended as planned.
    const listed = this.options.replicas.get(replica.id);
    if (listed?.state !== "ready") return;
    const known = this.brokenAt(replica);
    known.at = this.options.now();
    if (known.requests.size < MAX_REQUESTS) known.requests.add(caller.digest);
    if (known.evidence !== undefined) {
      this.tell(known, [caller.digest]);
      return;
    }
    if (known.isAsked) return;
    known.isAsked = true;
    void this.ask(known);
  }

  private brokenAt(replica: Replica): BrokenAnswers {
    const known = this.broken.get(replica.id);
    if (known !== undefined) return known;
    const fresh: BrokenAnswers = {
      replica,
      at: 0,
      requests: new Set(),
      evidence: undefined,
      isAsked: false,
    };
    this.broken.set(replica.id, fresh);
    const [oldest] = this.broken.keys();
    if (this.broken.size > MAX_REPLICAS && oldest !== undefined) {
      this.broken.delete(oldest);
    }
    return fresh;
  }

  private async ask(known: BrokenAnswers): Promise<void> {
    const { client } = this.options;
    const found = await client.probe(known.replica.address);
    known.isAsked = false;
    if (found === "refused") return this.confirm(known, "nobody listens");
    // It lost single answers: they say nothing of what comes later.
    if (found === "listening") this.forgetOld(known);
  }

  /** Answers that broke off long before an end had another cause. */
  private forgetOld(known: BrokenAnswers): void {
    const timer = setTimeout(() => {
      const isOld = this.options.now() - known.at >= CONFIRM_MS;
      if (isOld && known.evidence === undefined) known.requests.clear();
    }, CONFIRM_MS);
    timer.unref();
  }

  private confirm(known: BrokenAnswers, evidence: EndEvidence): void {
    if (known.evidence !== undefined) return;
    known.evidence = evidence;
    this.options.metrics.count("replica_ended", { how: evidence });
    this.tell(known, [...known.requests]);
  }

  private tell({ replica, evidence }: BrokenAnswers, requests: string[]): void {
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
