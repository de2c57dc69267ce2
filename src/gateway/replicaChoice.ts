/**
 * Chooses the replica of a plain service for one send by the expected time to
 * its answer. Each entry learns by itself, from its own sends. No I/O.
 */
import { LRUCache } from "lru-cache";

import { DecayingSum } from "../shared/decayingSum.js";
import type { Rng } from "../shared/rng.js";
import type { Replica } from "./types.js";

/**
 * Time constant of learned latencies, ms: a small entry sends a few requests a
 * second to a service, and a replica is slow for half a second at a time.
 */
const MEMORY_MS = 3000;
/**
 * Samples are ignored if the last one is older than this, ms. Without it, the
 * replica that was slowest once would never be tried again.
 */
const MAX_SAMPLE_AGE_MS = 2000;
/** Weight of the mean of all replicas in the latency of each one, in samples. */
const MEAN_WEIGHT = 0.5;
/** Faster answers count as this, ms: objectives are 100 ms and more. */
const MIN_LATENCY_MS = 10;
/** A cost above this fraction of another counts as equal: latencies vary. */
const EQUAL_FRACTION = 0.9;
/**
 * A failed send counts as at least this many times the mean latency, since the
 * request needs another send: a replica that fails fast must not look fast.
 */
const FAILURE_FACTOR = 3;
/** Latency while no replica of the service has answered, ms. */
const UNKNOWN_LATENCY_MS = 50;
/** Added for a replica in another failure domain: the way there and back, ms. */
const HOP_MS = 16;
/** Replicas whose latency is kept; the least recently used are evicted. */
const MAX_REPLICAS = 4096;

/**
 * How a send ended. `abandoned`: this entry or the caller cancelled it;
 * `no-sample`: it says nothing about the time of an answer.
 */
export type SendEnd = "answered" | "failed" | "abandoned" | "no-sample";

/** A send that has not ended. */
export interface OpenSend {
  readonly replica: string;
  readonly sentAt: number;
}

export interface ReplicaChoiceOptions {
  domain: string;
  /** Number of entries that send to the replicas; undefined while unknown. */
  entries: () => number | undefined;
  rng: Rng;
}

/** Sums over the ends of sends to one replica. */
interface Samples {
  answers: DecayingSum;
  answerMs: DecayingSum;
  failures: DecayingSum;
  failureMs: DecayingSum;
  /** When the last send ended, ms. */
  lastAt: number;
}

const newSamples = (): Samples => ({
  answers: new DecayingSum(MEMORY_MS),
  answerMs: new DecayingSum(MEMORY_MS),
  failures: new DecayingSum(MEMORY_MS),
  failureMs: new DecayingSum(MEMORY_MS),
  lastAt: -Infinity,
});

export class ReplicaChoice {
  private readonly samples = new LRUCache<string, Samples>({
    max: MAX_REPLICAS,
  });
  /** Sends in flight by replica id, the oldest first. */
  private readonly open = new Map<string, Set<OpenSend>>();

  constructor(private readonly options: ReplicaChoiceOptions) {}

  /** Draws two of the replicas at random and returns the better one. */
  choose(replicas: readonly Replica[], now: number): Replica | undefined {
    const { rng } = this.options;
    const count = replicas.length;
    if (count < 2) return replicas[0];
    const first = Math.floor(rng() * count);
    const second = (first + 1 + Math.floor(rng() * (count - 1))) % count;
    const [left, right] = [replicas[first]!, replicas[second]!];
    const meanMs = this.meanMs(replicas, now);
    const leftMs = this.expectedMs(left, meanMs, now);
    const rightMs = this.expectedMs(right, meanMs, now);
    return rightMs < EQUAL_FRACTION * leftMs ? right : left;
  }

  /**
   * The replicas whose latency is at most this, ms. Those with no samples and no
   * old send are among them while no replica of the service has answered.
   */
  fasterThan(
    replicas: readonly Replica[],
    limitMs: number,
    now: number,
  ): Replica[] {
    const unknownMs = Math.min(limitMs, UNKNOWN_LATENCY_MS);
    const meanMs = this.meanMs(replicas, now, unknownMs);
    return replicas.filter(
      ({ id }) => this.latencyMs(id, meanMs, now) <= limitMs,
    );
  }

  recordSend(replica: string, now: number): OpenSend {
    const send = { replica, sentAt: now };
    const open = this.open.get(replica) ?? new Set();
    this.open.set(replica, open.add(send));
    return send;
  }

  recordEnd(send: OpenSend, end: SendEnd, now: number): void {
    const { replica, sentAt } = send;
    const open = this.open.get(replica);
    open?.delete(send);
    if (open?.size === 0) this.open.delete(replica);
    if (end === "no-sample") return;
    const samples = this.samples.get(replica) ?? newSamples();
    const elapsedMs = Math.max(MIN_LATENCY_MS, now - sentAt);
    const { answers, answerMs, failures, failureMs } = samples;
    const count = answers.value(now);
    const ownMs = count > 0 ? answerMs.value(now) / count : UNKNOWN_LATENCY_MS;
    const isSlower = elapsedMs > ownMs;
    // An abandoned send shows only that the answer takes at least this long.
    if (end === "abandoned" && !isSlower) return;
    (end === "failed" ? failures : answers).add(1, now);
    (end === "failed" ? failureMs : answerMs).add(elapsedMs, now);
    samples.lastAt = now;
    this.samples.set(replica, samples);
  }

  private freshSamples(id: string, now: number): Samples | undefined {
    const samples = this.samples.get(id);
    const isFresh = now - (samples?.lastAt ?? -Infinity) <= MAX_SAMPLE_AGE_MS;
    return isFresh ? samples : undefined;
  }

  /** Mean time of the answers of all replicas, ms. */
  private meanMs(
    replicas: readonly Replica[],
    now: number,
    unknownMs = UNKNOWN_LATENCY_MS,
  ): number {
    let count = 0;
    let sumMs = 0;
    for (const { id } of replicas) {
      const samples = this.freshSamples(id, now);
      count += samples?.answers.value(now) ?? 0;
      sumMs += samples?.answerMs.value(now) ?? 0;
    }
    return count > 0 ? sumMs / count : unknownMs;
  }

  /** Expected time to an answer, with the requests of all entries, ms. */
  private expectedMs(replica: Replica, meanMs: number, now: number): number {
    const { id, domain, slots } = replica;
    const { entries } = this.options;
    const hopMs = domain === this.options.domain ? 0 : HOP_MS;
    const own = this.open.get(id)?.size ?? 0;
    const inFlight = own * Math.max(1, entries() ?? 1);
    const load = (inFlight + 1) / Math.max(1, slots);
    return (this.latencyMs(id, meanMs, now) + hopMs) * load;
  }

  private latencyMs(id: string, meanMs: number, now: number): number {
    const [oldest] = this.open.get(id) ?? [];
    const ageMs = oldest === undefined ? 0 : now - oldest.sentAt;
    const samples = this.freshSamples(id, now);
    if (samples === undefined) return Math.max(ageMs, meanMs);
    const failures = samples.failures.value(now);
    const failedMs = Math.max(
      samples.failureMs.value(now),
      failures * FAILURE_FACTOR * meanMs,
    );
    const sumMs = samples.answerMs.value(now) + failedMs + MEAN_WEIGHT * meanMs;
    const count = samples.answers.value(now) + failures + MEAN_WEIGHT;
    return Math.max(ageMs, sumMs / count);
  }
}
