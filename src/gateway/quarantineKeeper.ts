/**
 * Bars requests that end their replicas, at one entry: refuses them, and
 * shares with the fleet what this entry has seen.
 */
import { Quarantine } from "../quarantine/index.js";
import type { QuarantineRecord } from "../quarantine/index.js";
import type { RequestFailure } from "../shared/errors.js";
import { errText } from "../shared/utils.js";
import type { Supervisor } from "../tasks/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { barsIn, QuarantineStore } from "./quarantineStore.js";
import type { QuarantineStoreOptions } from "./quarantineStore.js";
import { QuarantineTrials, trialSends } from "./quarantineTrials.js";
import type { ReplicaEnd } from "./replicaEnds.js";

/** Period of looking whether there is anything to share, ms. */
const STEP_MS = 50;
/**
 * Ends of one replica are told request by request, and a popular request
 * that was there by chance ends well elsewhere meanwhile, ms.
 */
const GATHER_MS = 100;
/** Pause after a call to the store that failed, ms. */
const RETRY_MS = 500;
/** Writes of the bars in a row that may meet other writers. */
const MAX_CONFLICTS = 4;
const MS_PER_SECOND = 1000;

export interface QuarantineKeeperOptions extends QuarantineStoreOptions {
  log: Log;
  metrics: Metrics;
  now: () => number;
  wallNow: () => number;
}

export class QuarantineKeeper {
  private readonly quarantine: Quarantine;
  private readonly store: QuarantineStore;
  private readonly trials: QuarantineTrials;
  /** Steps of the bars in the store, and those that were logged. */
  private storedSteps = new Map<string, number>();
  private loggedSteps = new Map<string, number>();
  private hasRestored = false;
  /** Since when there is something to tell, ms. */
  private newsSince: number | undefined;
  /** An end is among the news, so that the others' records matter. */
  private hasNewEnds = false;
  private retryAt = 0;

  constructor(private readonly options: QuarantineKeeperOptions) {
    const { self, log, now, wallNow } = options;
    this.quarantine = new Quarantine(self, now, wallNow);
    this.store = new QuarantineStore(options);
    this.trials = new QuarantineTrials(this.quarantine, this.store, log);
  }

  start(supervisor: Supervisor): void {
    supervisor.every("quarantine", STEP_MS, () => this.step());
  }

  onEnd({ replica, requests }: ReplicaEnd): void {
    this.quarantine.recordReplicaEnd(requests, replica.id);
    this.newsSince ??= this.options.now();
    this.hasNewEnds = true;
    this.announce();
  }

  onSurvived(caller: CallerRequest): void {
    if (!this.quarantine.mayBeTracked(caller.body.length)) return;
    this.trials.noteSurvived(caller);
    const isNews = this.quarantine.recordSurvival(caller.digest);
    if (isNews) this.newsSince ??= this.options.now();
  }

  /** What lies beside the configuration in the store. */
  onStatus(status: unknown): void {
    const bars = barsIn(status);
    this.storedSteps = new Map(bars.map(({ digest, step }) => [digest, step]));
    this.quarantine.applyRecords(bars);
    this.announce();
  }

  /** Before anything is done for a request: why it may not run. */
  async admit(caller: CallerRequest): Promise<RequestFailure | undefined> {
    if (!this.quarantine.mayBeTracked(caller.body.length)) return undefined;
    const verdict = this.quarantine.verdict(caller.digest, trialSends(caller));
    if (verdict.kind === "free") return undefined;
    const mayTry = verdict.kind === "may-try";
    if (mayTry && (await this.trials.claim(caller))) return undefined;
    this.options.metrics.count("quarantine", { what: "refused" });
    return this.failure(verdict.record);
  }

  /** Before each send: a bar may have come since the request did. */
  refusal(caller: CallerRequest): RequestFailure | undefined {
    if (caller.isTrial) return undefined;
    if (!this.quarantine.mayBeTracked(caller.body.length)) return undefined;
    const bar = this.quarantine.activeRecord(caller.digest);
    return bar && this.failure(bar);
  }

  /** A request is over. */
  settle(caller: CallerRequest): void {
    if (this.trials.settle(caller)) this.announce();
  }

  /** Shares what is new; only then calls are made. */
  async step(): Promise<void> {
    const now = this.options.now();
    if (now < this.retryAt) return;
    try {
      if (await this.share(now)) return;
    } catch (err) {
      const why = errText(err);
      this.options.log.warn("ends of replicas not read", { why });
    }
    this.retryAt = this.options.now() + RETRY_MS;
  }

  private async share(now: number): Promise<boolean> {
    if (!this.hasRestored) await this.restore();
    const { newsSince } = this;
    const isDue = newsSince !== undefined && now - newsSince >= GATHER_MS;
    if (isDue && !(await this.shareEnds(newsSince))) return false;
    return !this.hasUnstoredBars || (await this.shareBars());
  }

  /** Takes up what an earlier life of this process, and others, have seen. */
  private async restore(): Promise<void> {
    const { all, own } = await this.store.readEnds();
    this.quarantine.restore(own);
    this.quarantine.applyEndRecords(all);
    this.hasRestored = true;
    this.announce();
  }

  private async shareEnds(since: number): Promise<boolean> {
    const { hasNewEnds } = this;
    this.newsSince = undefined;
    this.hasNewEnds = false;
    let isShared = false;
    try {
      const record = this.quarantine.toRecord();
      const isWritten = await this.store.writeEnds(record);
      if (isWritten && hasNewEnds) await this.learnEnds();
      isShared = isWritten;
    } finally {
      if (!isShared) this.newsSince = since;
      if (!isShared) this.hasNewEnds ||= hasNewEnds;
    }
    return isShared;
  }

  private async learnEnds(): Promise<void> {
    const { all } = await this.store.readEnds();
    this.quarantine.applyEndRecords([...all, this.quarantine.toRecord()]);
    this.announce();
  }

  private get hasUnstoredBars(): boolean {
    return this.quarantine
      .allRecords()
      .some(({ digest, step }) => step > (this.storedSteps.get(digest) ?? 0));
  }

  private async shareBars(): Promise<boolean> {
    for (let round = 0; round < MAX_CONFLICTS; round += 1) {
      const outcome = await this.store.writeBars(this.quarantine.allRecords());
      if (outcome !== "conflict") return outcome === "written";
    }
    return false;
  }

  private failure({ lives, by, at }: QuarantineRecord): RequestFailure {
    const ageMs = Math.max(0, this.options.wallNow() - at);
    const age = `${Math.round(ageMs / MS_PER_SECOND)} s`;
    return {
      status: 502,
      code: "quarantined",
      message: `replicas that ran it ended: ${lives.join(", ")}; barred by ${by} ${age} ago`,
      verdict: "may-have-run",
    };
  }

  /** Logs each step of each bar once. */
  private announce(): void {
    const bars = this.quarantine.allRecords();
    const before = this.loggedSteps;
    this.loggedSteps = new Map(bars.map(({ digest, step }) => [digest, step]));
    for (const bar of bars) {
      const { digest, step, state, lives, sends, by } = bar;
      if (step <= (before.get(digest) ?? 0)) continue;
      const isFirst = !before.has(digest);
      const fields = { digest, step, sends, by, lives: lives.join(",") };
      const message = isFirst ? "request quarantined" : "quarantine changed";
      this.options.log.info(message, { ...fields, state });
      this.options.metrics.count("quarantine", { what: state });
    }
  }
}
