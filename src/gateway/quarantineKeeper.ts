/**
 * Keeps the fleet's bars of requests that end their replicas. What each
 * process has seen lies in an object of its own in the store, written when a
 * replica ended; the bars lie beside the configuration, which every entry
 * follows anyway: while nothing ends, no call is made.
 */
import { z } from "zod/v4";

import { BAR_STATES, Quarantine } from "../quarantine/index.js";
import type { Bar, EndRecord } from "../quarantine/index.js";
import type { RequestFailure } from "../shared/errors.js";
import { ABSENT } from "../store/index.js";
import type { FeedItem, ObjectFeed } from "../store/index.js";
import type { Supervisor } from "../tasks/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { GatewaySource, GatewayState } from "./gatewayState.js";
import type { ReplicaEnd } from "./replicaEnds.js";

/** Object kind of what processes have seen; named by the process. */
const ENDS_KIND = "replica-ends";
/** Field of the status beside the configuration. */
const BARS_FIELD = "quarantine";
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
/** A model request may be read at one replica and run at another. */
const ENGINE_TRIAL_SENDS = 2;
const MS_PER_SECOND = 1000;

const barSchema = z.object({
  digest: z.string(),
  state: z.enum(BAR_STATES),
  step: z.number().int(),
  lives: z.array(z.string()),
  sends: z.number().int(),
  by: z.string(),
  at: z.number(),
});

const endsSchema = z.record(z.string(), z.array(z.string()));

const fieldsOf = (value: unknown): Record<string, unknown> =>
  typeof value === "object" && value !== null ? { ...value } : {};

/** Bars that can be read; others are another writer's, and say nothing. */
const barsIn = (status: unknown): Bar[] => {
  const listed = fieldsOf(status)[BARS_FIELD];
  if (!Array.isArray(listed)) return [];
  return listed.flatMap((item) => {
    const read = barSchema.safeParse(item);
    return read.success ? [read.data] : [];
  });
};

const endsIn = ({ value }: FeedItem): EndRecord => {
  const read = endsSchema.safeParse(value);
  return read.success ? read.data : {};
};

export interface QuarantineKeeperOptions {
  /** Name of this process. */
  self: string;
  state: GatewayState;
  source: Pick<GatewaySource, "configKind" | "configName">;
  feed: ObjectFeed;
  log: Log;
  metrics: Metrics;
  now: () => number;
  wallNow: () => number;
}

export class QuarantineKeeper {
  private readonly quarantine: Quarantine;
  /** Steps of the bars in the store, and those that were logged. */
  private storedSteps = new Map<string, number>();
  private readonly loggedSteps = new Map<string, number>();
  /** Trials that run here, by the caller's request. */
  private readonly trials = new Map<CallerRequest, TrialRun>();
  /** Digests whose trial is being asked for. */
  private readonly claiming = new Set<string>();
  private hasRestored = false;
  /** Of this process's object. */
  private revision = ABSENT;
  /** Since when there is something to tell, ms. */
  private newsSince: number | undefined;
  /** An end is among the news, so that the others' records matter. */
  private hasNewEnds = false;
  private retryAt = 0;

  constructor(private readonly options: QuarantineKeeperOptions) {
    const { self, now, wallNow } = options;
    this.quarantine = new Quarantine(self, now, wallNow);
  }

  start(supervisor: Supervisor): void {
    supervisor.every("quarantine", STEP_MS, () => this.step());
  }

  onEnd({ replica, requests }: ReplicaEnd): void {
    this.quarantine.noteEnd(requests, replica.id);
    this.newsSince ??= this.options.now();
    this.hasNewEnds = true;
    this.announce();
  }

  onSurvived(caller: CallerRequest): void {
    if (!this.quarantine.mightKnow(caller.body.length)) return;
    const trial = this.trials.get(caller);
    if (trial !== undefined) trial.hasSurvived = true;
    const isNews = this.quarantine.noteSurvived(caller.digest);
    if (isNews) this.newsSince ??= this.options.now();
  }

  /** What lies beside the configuration in the store. */
  onStatus(status: unknown): void {
    const bars = barsIn(status);
    this.storedSteps = new Map(bars.map(({ digest, step }) => [digest, step]));
    this.quarantine.learnBars(bars);
    this.announce();
  }

  /** Before anything is done for a request: why it may not run. */
  async admit(caller: CallerRequest): Promise<RequestFailure | undefined> {
    if (!this.quarantine.mightKnow(caller.body.length)) return undefined;
    const { digest } = caller;
    const sends = trialSends(caller);
    const verdict = this.quarantine.verdict(digest, sends);
    if (verdict.kind === "free") return undefined;
    if (verdict.kind === "may-try" && (await this.claimTrial(caller, sends))) {
      return undefined;
    }
    this.options.metrics.count("quarantine", { what: "refused" });
    return this.failure(verdict.bar);
  }

  /** Before each send: a bar may have come since the request did. */
  refusal(caller: CallerRequest): RequestFailure | undefined {
    if (caller.isTrial) return undefined;
    if (!this.quarantine.mightKnow(caller.body.length)) return undefined;
    const bar = this.quarantine.barOf(caller.digest);
    return bar && this.failure(bar);
  }

  /** A request is over. */
  settle(caller: CallerRequest): void {
    const run = this.trials.get(caller);
    if (run === undefined) return;
    this.trials.delete(caller);
    const { trial, reserved, hasSurvived } = run;
    const sends = caller.sentTo.length;
    const outcome = { sends, hasSurvived };
    const next = this.quarantine.afterTrial(trial, reserved, outcome);
    this.quarantine.learnBars([next]);
    this.options.log.info("quarantine trial ended", {
      requestId: caller.head.id,
      digest: trial.digest,
      sentTo: caller.sentTo.join(","),
      hasSurvived,
    });
    this.announce();
  }

  /** Shares what is new; only then calls are made. */
  async step(): Promise<void> {
    const now = this.options.now();
    if (now < this.retryAt) return;
    const isShared = await this.shareAll(now);
    if (!isShared) this.retryAt = this.options.now() + RETRY_MS;
  }

  private async shareAll(now: number): Promise<boolean> {
    if (!this.hasRestored && !(await this.restore())) return false;
    const isDue =
      this.newsSince !== undefined && now - this.newsSince >= GATHER_MS;
    if (isDue && !(await this.shareEnds())) return false;
    return !this.hasUnstoredBars || (await this.shareBars());
  }

  /** Takes up what an earlier life of this process, and others, have seen. */
  private async restore(): Promise<boolean> {
    const items = await this.readEnds();
    if (items === undefined) return false;
    const own = items.find(({ name }) => name === this.options.self);
    if (own !== undefined) {
      this.revision = own.revision;
      this.quarantine.restore(endsIn(own));
    }
    this.hasRestored = true;
    return true;
  }

  private async shareEnds(): Promise<boolean> {
    const { newsSince, hasNewEnds } = this;
    this.newsSince = undefined;
    this.hasNewEnds = false;
    const isDone =
      (await this.writeEnds()) &&
      (!hasNewEnds || (await this.readEnds()) !== undefined);
    if (isDone) return true;
    this.newsSince ??= newsSince;
    this.hasNewEnds ||= hasNewEnds;
    return false;
  }

  private async writeEnds(): Promise<boolean> {
    const { feed, self } = this.options;
    const record = this.quarantine.toRecord();
    const result = await feed.write(ENDS_KIND, self, record, this.revision);
    if (result.kind === "written") this.revision = result.item.revision;
    // Only this process writes it: an answer that was lost, or an earlier life.
    if (result.kind === "conflict") {
      this.revision = result.current?.revision ?? ABSENT;
    }
    return result.kind === "written";
  }

  private async readEnds(): Promise<FeedItem[] | undefined> {
    const { feed, log } = this.options;
    try {
      const { items } = await feed.list(ENDS_KIND);
      this.quarantine.learnEnds([
        ...items.map(endsIn),
        this.quarantine.toRecord(),
      ]);
      this.announce();
      return items;
    } catch (err) {
      const why = err instanceof Error ? err.message : String(err);
      log.warn("ends of replicas not read", { why });
      return undefined;
    }
  }

  private get hasUnstoredBars(): boolean {
    return this.quarantine
      .allBars()
      .some(({ digest, step }) => step > (this.storedSteps.get(digest) ?? 0));
  }

  private async shareBars(): Promise<boolean> {
    for (let round = 0; round < MAX_CONFLICTS; round += 1) {
      const outcome = await this.writeBars(this.quarantine.allBars());
      if (outcome !== "conflict") return outcome === "written";
    }
    return false;
  }

  /** One conditional write; what another has written meanwhile is learnt. */
  private async writeBars(
    bars: readonly Bar[],
  ): Promise<"written" | "conflict" | "failed"> {
    const { state, feed, source } = this.options;
    const item = state.storedConfig;
    if (item === undefined) return "failed";
    const status = { ...fieldsOf(item.status), [BARS_FIELD]: bars };
    const { configKind: kind, configName: name } = source;
    const result = await feed.writeStatus(kind, name, status, item.revision);
    switch (result.kind) {
      case "written":
        state.onConfigItem(result.item);
        return "written";
      case "conflict":
        if (result.current === undefined) return "failed";
        state.onConfigItem(result.current);
        return "conflict";
      default:
        return "failed";
    }
  }

  /**
   * Asks the store for the trial. An answer that was lost counts as no: the
   * trial may be taken, and nobody runs it.
   */
  private async claimTrial(
    caller: CallerRequest,
    sends: number,
  ): Promise<boolean> {
    const { digest } = caller;
    if (this.claiming.has(digest)) return false;
    this.claiming.add(digest);
    try {
      for (let round = 0; round < MAX_CONFLICTS; round += 1) {
        const verdict = this.quarantine.verdict(digest, sends);
        if (verdict.kind !== "may-try") return false;
        const trial = this.quarantine.trialOf(verdict.bar, sends);
        const others = this.quarantine
          .allBars()
          .filter((bar) => bar.digest !== digest);
        const outcome = await this.writeBars([...others, trial]);
        if (outcome === "failed") return false;
        if (outcome === "conflict") continue;
        this.trials.set(caller, { trial, reserved: sends, hasSurvived: false });
        caller.isTrial = true;
        return true;
      }
      return false;
    } finally {
      this.claiming.delete(digest);
    }
  }

  private failure({ lives, by, at }: Bar): RequestFailure {
    const ageMs = Math.max(0, this.options.wallNow() - at);
    const age = `${Math.round(ageMs / MS_PER_SECOND)} s`;
    return {
      status: 502,
      code: "quarantined",
      message: `replicas that ran it ended: ${lives.join(", ")}; barred by ${by} ${age} ago`,
      verdict: "may-have-run",
    };
  }

  private announce(): void {
    for (const bar of this.quarantine.allBars()) {
      const { digest, step, state, lives, sends, by } = bar;
      if (step <= (this.loggedSteps.get(digest) ?? 0)) continue;
      const isFirst = !this.loggedSteps.has(digest);
      this.loggedSteps.set(digest, step);
      const fields = { digest, step, sends, by, lives: lives.join(",") };
      const message = isFirst ? "request quarantined" : "quarantine changed";
      this.options.log.info(message, { ...fields, state });
      this.options.metrics.count("quarantine", { what: state });
    }
  }
}

/** A trial that this process runs. */
interface TrialRun {
  trial: Bar;
  /** Sends that it was given. */
  reserved: number;
  hasSurvived: boolean;
}

const trialSends = (caller: CallerRequest): number =>
  caller.head.prompt === undefined ? 1 : ENGINE_TRIAL_SENDS;
