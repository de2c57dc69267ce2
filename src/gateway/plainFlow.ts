/**
 * Serves requests to plain services, with retries on other replicas if safe.
 */
import type { RateLimits } from "../rateLimits/index.js";
import type { Rng } from "../shared/rng.js";
import type { CallerRequest } from "./callerRequest.js";
import type { EntryLink } from "./entryLink.js";
import { PlainPermits } from "./plainPermits.js";
import type { PermitSource } from "./plainPermits.js";
import { PlainProgress } from "./plainProgress.js";
import { PlainSender, unavailable } from "./plainSender.js";
import type { PlainSenderOptions } from "./plainSender.js";
import type { QuarantineManager } from "./quarantineManager.js";
import { ReplicaChoice } from "./replicaChoice.js";
import type { RetryBudgets } from "./retryBudgets.js";
import { SecondSends } from "./secondSends.js";
import type { PlainSend, SecondSendsOptions } from "./secondSends.js";
import type { Replica } from "./types.js";
import { afterBackOffMs, failureOf, deadlineFailure } from "./verdicts.js";

/** Of the retry budget, for second sends: the rest is kept for failures. */
const SECOND_SEND_FRACTION = 0.5;
const AT_LIMIT = "all replicas take no more for the moment";

export interface PlainFlowOptions
  extends PlainSenderOptions, SecondSendsOptions {
  quarantine: Pick<QuarantineManager, "refusal">;
  budgets: RetryBudgets;
  rates: RateLimits;
  permits: PermitSource;
  link: Pick<EntryLink, "mayRepeat">;
  domain: string;
  /** Number of entries that send to the replicas; undefined while unknown. */
  entries: () => number | undefined;
  rng: Rng;
}

export class PlainFlow {
  private readonly choice: ReplicaChoice;
  private readonly sender: PlainSender;
  private readonly secondSends: SecondSends;
  private readonly permits: PlainPermits;

  constructor(private readonly options: PlainFlowOptions) {
    this.permits = new PlainPermits(options);
    this.choice = new ReplicaChoice(options);
    this.secondSends = new SecondSends(options);
    this.sender = new PlainSender(options, this.choice);
  }

  async run(caller: CallerRequest): Promise<void> {
    const progress = new PlainProgress(caller);
    while (progress.maySend) {
      const refusal = this.options.quarantine.refusal(caller);
      if (refusal !== undefined && progress.answer === undefined) {
        return caller.fail(refusal);
      }
      if (refusal !== undefined) break;
      await this.sendOnce(caller, progress);
    }
    this.respond(caller, progress);
  }

  /** Sends to one replica, or to a second one too if the first is slow. */
  private async sendOnce(
    caller: CallerRequest,
    progress: PlainProgress,
  ): Promise<void> {
    const { service } = caller;
    const replica = this.chooseReplica(caller, progress.tried);
    if (replica === undefined) return progress.end();
    const permit = await this.permits.acquire(service, replica.id);
    if (caller.cancellation.isCancelled) return progress.end();
    if (permit.kind === "held-back") {
      progress.why = AT_LIMIT;
      return;
    }
    const isRetry = caller.sentTo.length > 0;
    if (isRetry && !this.options.budgets.hasRetry(service)) {
      return progress.end();
    }
    progress.recordSend(replica.id);
    const send = this.sendTo(caller, replica, permit.permitAt);
    const attempts = progress.maySendTwice
      ? await this.secondSends.run(caller, send, (slowMs, isNeeded) =>
          this.secondSend(caller, progress, slowMs, isNeeded),
        )
      : [await send(caller.cancellation)];
    for (const attempt of attempts) progress.recordEnd(attempt);
  }

  private respond(caller: CallerRequest, progress: PlainProgress): void {
    const { answer, verdict, why } = progress;
    if (answer !== undefined) {
      const { head, headers, body } = answer;
      return caller.sendWholeResponse(head.status, headers, body);
    }
    if (caller.isPastDeadline) return caller.fail(deadlineFailure(verdict));
    caller.fail(failureOf(verdict, why, this.retryAfterMs(caller)));
  }

  /** A send that takes from the retry budget once it is made, if it is not the first. */
  private sendTo(
    caller: CallerRequest,
    replica: Replica,
    permitAt: number | undefined,
  ): PlainSend {
    const { budgets } = this.options;
    return async (cancellation) => {
      const isRetry = caller.sentTo.length > 0;
      const retry = isRetry ? budgets.acquire(caller.service) : undefined;
      if (isRetry && retry === undefined)
        return unavailable("no retry is left");
      if (isRetry) caller.retries += 1;
      try {
        return await this.sender.send(caller, replica, permitAt, cancellation);
      } finally {
        retry?.settle();
      }
    };
  }

  /** The second send of a slow request; undefined if it must not be sent. */
  private async secondSend(
    caller: CallerRequest,
    progress: PlainProgress,
    slowMs: number,
    isNeeded: () => boolean,
  ): Promise<PlainSend | undefined> {
    const { budgets, quarantine } = this.options;
    const { service } = caller;
    if (quarantine.refusal(caller) !== undefined) return undefined;
    // A full link delays the first answer, and a second send fills it further.
    if (!this.options.link.mayRepeat(caller)) return undefined;
    // A permit that is not used lowers the rate of a limited replica.
    if (!budgets.hasRetry(service, 1, SECOND_SEND_FRACTION)) return undefined;
    const replica = this.chooseReplica(caller, progress.tried, slowMs);
    if (replica === undefined) return undefined;
    const permit = await this.permits.acquire(service, replica.id);
    if (permit.kind === "held-back" || !isNeeded()) return undefined;
    if (!budgets.hasRetry(service, 1, SECOND_SEND_FRACTION)) return undefined;
    progress.recordSecondSend(replica.id);
    return this.sendTo(caller, replica, permit.permitAt);
  }

  /**
   * If all replicas back off or are at their limits, the caller should return
   * when the first of them accepts requests again.
   */
  private retryAfterMs({ service }: CallerRequest): number | undefined {
    const { replicas, now, rng } = this.options;
    const { signals } = replicas;
    const heldUntil = (id: string) => this.permits.heldUntil(id);
    const leftMs = signals.untilAvailableMs(service, now(), heldUntil);
    return leftMs > 0 ? afterBackOffMs(leftMs, rng) : undefined;
  }

  private chooseReplica(
    caller: CallerRequest,
    tried: ReadonlySet<string>,
    maxLatencyMs = Infinity,
  ): Replica | undefined {
    const { replicas, now } = this.options;
    const usable = replicas.usable(caller.service, now()).filter(({ id }) => {
      const isRefused = replicas.signals.refusal(id, now()) !== undefined;
      const isHeldBack = this.permits.heldUntil(id) > now();
      return !isRefused && !isHeldBack && !tried.has(id);
    });
    const healthy = usable.filter((item) => !this.sender.isEjected(item.id));
    // An ejected replica is a last resort, but not for a second send.
    const isLastResort = healthy.length === 0 && maxLatencyMs === Infinity;
    const candidates = isLastResort ? usable : healthy;
    const fast = this.choice.fasterThan(candidates, maxLatencyMs, now());
    return this.choice.choose(fast, now());
  }
}
