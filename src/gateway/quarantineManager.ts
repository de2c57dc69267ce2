/**
 * Quarantines what crashes the replicas that run it: refuses barred requests,
 * and those with a barred part, at this entry and shares its observations with
 * the fleet.
 */
import { isPartKey, Quarantine } from "../quarantine/index.js";
import type { QuarantineRecord } from "../quarantine/index.js";
import type { RequestFailure } from "../shared/errors.js";
import { errText } from "../shared/utils.js";
import type { Supervisor } from "../tasks/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { parseRecords, QuarantineStore } from "./quarantineStore.js";
import type { QuarantineStoreOptions } from "./quarantineStore.js";
import { QuarantineTrials, maxTrialSends } from "./quarantineTrials.js";
import type { ReplicaEnd } from "./replicaEndDetector.js";

/** Interval between checks for observations to share, ms. */
const SHARE_INTERVAL_MS = 50;
/**
 * Delay before new observations are shared, ms. The end of one replica is
 * reported request by request, and a popular request that was there by chance
 * completes on another replica in the meantime.
 */
const BATCH_DELAY_MS = 100;
/** Retry interval after a failed store call, ms. */
const RETRY_MS = 500;
/**
 * Largest body whose digest is computed for each completed request, bytes; that
 * larger requests did well is not remembered.
 */
const MAX_DIGESTED_BYTES = 16 * 1024;
/** Attempts to write the records that may conflict with other writers. */
const MAX_CONFLICTS = 4;
const MS_PER_SECOND = 1000;

export interface QuarantineManagerOptions extends QuarantineStoreOptions {
  log: Log;
  metrics: Metrics;
  now: () => number;
  wallNow: () => number;
}

export class QuarantineManager {
  private readonly quarantine: Quarantine;
  private readonly store: QuarantineStore;
  private readonly trials: QuarantineTrials;
  /** Steps of the records in the store, and last logged steps, by digest. */
  private storedSteps = new Map<string, number>();
  private loggedSteps = new Map<string, number>();
  private hasRestored = false;
  /** Instant of the oldest observation not shared yet, ms. */
  private unsharedSince: number | undefined;
  /** Unshared observations include an end, so others' records are needed. */
  private hasNewEnds = false;
  private retryAt = 0;
  /** Resolves once it is known whether a replica survived the request's run. */
  survivalKnown: (caller: CallerRequest) => Promise<void> = async () =>
    undefined;

  constructor(private readonly options: QuarantineManagerOptions) {
    const { self, log, now, wallNow } = options;
    this.quarantine = new Quarantine(self, now, wallNow);
    this.store = new QuarantineStore(options);
    this.trials = new QuarantineTrials(this.quarantine, this.store, log);
  }

  start(supervisor: Supervisor): void {
    supervisor.every("quarantine", SHARE_INTERVAL_MS, () => this.step());
  }

  onEnd({ replica, requests }: ReplicaEnd): void {
    this.quarantine.recordReplicaEnd(requests, replica.id);
    this.unsharedSince ??= this.options.now();
    this.hasNewEnds = true;
    this.logRecordChanges();
  }

  /**
   * A run completed; `isGood`: with a 2xx. Returns what to call if its replica
   * has ended right behind it.
   */
  onCompleted(caller: CallerRequest, isGood: boolean): () => void {
    // An error may come before anything was written, and clears no part.
    const keys = isGood ? [...caller.partKeys] : [];
    if (this.quarantine.mayBeTracked(caller.body.length))
      keys.push(caller.digest);
    const completion = this.quarantine.recordCompletion(keys);
    if (completion.cleared.size > 0) this.unsharedSince ??= this.options.now();
    return () => this.quarantine.takeBack(completion);
  }

  /** The replica of a completed run has not ended behind it. */
  onSurvived(caller: CallerRequest, isGood: boolean): void {
    this.trials.recordSurvival(caller, isGood);
    if (isGood && caller.body.length <= MAX_DIGESTED_BYTES)
      this.quarantine.recordSurvival(caller.digest);
  }

  /** Handles the status that is stored with the configuration. */
  onStatus(status: unknown): void {
    const records = parseRecords(status);
    this.storedSteps = new Map(
      records.map(({ digest, step }) => [digest, step]),
    );
    this.quarantine.applyRecords(records);
    this.trials.releaseUnanswered();
    this.logRecordChanges();
  }

  /**
   * Called before a request is processed; returns why it may not run, undefined
   * if it may.
   */
  async admit(caller: CallerRequest): Promise<RequestFailure | undefined> {
    const keys = this.trackedKeys(caller);
    if (keys.length === 0) return undefined;
    const verdict = this.quarantine.requestVerdict(keys, maxTrialSends(caller));
    if (verdict.kind === "free") return undefined;
    const mayTry = verdict.kind === "may-try";
    if (mayTry && (await this.trials.claim(caller, keys))) return undefined;
    this.options.metrics.count("quarantine", { what: "refused" });
    const record = mayTry ? verdict.records[0] : verdict.record;
    return record && this.failure(caller, record);
  }

  /** Called before each send: a record may be newer than the request. */
  refusal(caller: CallerRequest): RequestFailure | undefined {
    if (caller.isTrial) return undefined;
    for (const key of this.trackedKeys(caller)) {
      const record = this.quarantine.activeRecord(key);
      if (record !== undefined) return this.failure(caller, record);
    }
    return undefined;
  }

  /** Digest and part keys that have to be looked up; mostly none. */
  private trackedKeys(caller: CallerRequest): string[] {
    const { quarantine } = this;
    const parts = quarantine.tracksParts ? caller.partKeys : [];
    const mayBeTracked = quarantine.mayBeTracked(caller.body.length);
    return mayBeTracked ? [caller.digest, ...parts] : [...parts];
  }

  /** Called when a request has ended. */
  async onRequestEnd(caller: CallerRequest): Promise<void> {
    if (!caller.isTrial) return;
    await this.survivalKnown(caller);
    if (this.trials.endTrial(caller)) this.logRecordChanges();
  }

  /** Shares new observations and records; makes no store calls without any. */
  async step(): Promise<void> {
    const now = this.options.now();
    if (now < this.retryAt) return;
    try {
      if (await this.share(now)) return;
    } catch (err) {
      const why = errText(err);
      this.options.log.warn("failed to share quarantine records", { why });
    }
    this.retryAt = this.options.now() + RETRY_MS;
  }

  private async share(now: number): Promise<boolean> {
    if (!this.hasRestored) await this.restore();
    const { unsharedSince } = this;
    const isDue =
      unsharedSince !== undefined && now - unsharedSince >= BATCH_DELAY_MS;
    if (isDue && !(await this.shareEnds(unsharedSince))) return false;
    return !this.hasUnstoredRecords || (await this.shareRecords());
  }

  /** Loads the records of this process before its restart, and of others. */
  private async restore(): Promise<void> {
    const { all, own } = await this.store.readEnds();
    this.quarantine.restore(own);
    this.quarantine.applyEndRecords(all);
    this.hasRestored = true;
    this.logRecordChanges();
  }

  private async shareEnds(since: number): Promise<boolean> {
    const { hasNewEnds } = this;
    this.unsharedSince = undefined;
    this.hasNewEnds = false;
    let isShared = false;
    try {
      const record = this.quarantine.toRecord();
      const isWritten = await this.store.writeEnds(record);
      if (isWritten && hasNewEnds) await this.applySharedEnds();
      isShared = isWritten;
    } finally {
      if (!isShared) this.unsharedSince = since;
      if (!isShared) this.hasNewEnds ||= hasNewEnds;
    }
    return isShared;
  }

  private async applySharedEnds(): Promise<void> {
    const { all } = await this.store.readEnds();
    this.quarantine.applyEndRecords([...all, this.quarantine.toRecord()]);
    this.logRecordChanges();
  }

  private get hasUnstoredRecords(): boolean {
    return this.quarantine
      .allRecords()
      .some(({ digest, step }) => step > (this.storedSteps.get(digest) ?? 0));
  }

  private async shareRecords(): Promise<boolean> {
    for (let round = 0; round < MAX_CONFLICTS; round += 1) {
      const outcome = await this.store.writeRecords(
        this.quarantine.allRecords(),
      );
      if (outcome !== "conflict") return outcome === "written";
    }
    return false;
  }

  private failure(
    caller: CallerRequest,
    { digest, lives, by, at }: QuarantineRecord,
  ): RequestFailure {
    const ageMs = Math.max(0, this.options.wallNow() - at);
    const age = `${Math.round(ageMs / MS_PER_SECOND)} s`;
    const isPart = isPartKey(digest);
    const what = isPart ? `requests with its ${digest}` : "it";
    // The request may have run before, in an earlier try of its caller.
    const isNew = isPart && caller.sentTo.length === 0;
    return {
      status: 502,
      code: "quarantined",
      message: `replicas that ran ${what} ended: ${lives.join(", ")}; barred by ${by} ${age} ago`,
      verdict: isNew ? "not-run" : "may-have-run",
    };
  }

  /** Logs and counts each step of each record once. */
  private logRecordChanges(): void {
    const records = this.quarantine.allRecords();
    const before = this.loggedSteps;
    this.loggedSteps = new Map(
      records.map(({ digest, step }) => [digest, step]),
    );
    for (const record of records) {
      const { digest, step, state, lives, sends, by } = record;
      if (step <= (before.get(digest) ?? 0)) continue;
      const isFirst = !before.has(digest);
      const fields = { digest, step, sends, by, lives: lives.join(",") };
      const what = isPartKey(digest) ? "part" : "request";
      const message = isFirst ? `${what} quarantined` : "quarantine changed";
      this.options.log.info(message, { ...fields, state });
      this.options.metrics.count("quarantine", { what: state });
    }
  }
}
