/**
 * Usage accounting in one process. It counts the requests of workspaces that
 * begin to run, sends the counts to the process responsible for the usage
 * report, and reports for the whole fleet while it is responsible itself. The
 * holder of the lease of the first model service, by name, is responsible.
 */
import { TakeoverGuard } from "../placement/index.js";
import type { SharedPlacement } from "../placement/index.js";
import type { ObjectFeed } from "../store/index.js";
import type { Supervisor } from "../tasks/index.js";
import type { Log } from "../telemetry/index.js";
import {
  UsageCounts,
  UsageLedger,
  UsageReporter,
} from "../workspaces/index.js";
import type {
  DutyPort,
  UsageWindows,
  WindowCounts,
} from "../workspaces/index.js";

/** Interval of sending counts, ms; a crash loses the counts of one interval. */
const PUBLISH_INTERVAL_MS = 1000;
/** Interval of checking whether a report is due, ms. */
const REPORT_CHECK_INTERVAL_MS = 300;

export interface UsageTrackerOptions {
  /** Id of this process. */
  self: string;
  windows: UsageWindows;
  port: DutyPort;
  /** Minimum time between the calls of two successive holders, ms. */
  leaseMs: number;
  /** Services that have engines. */
  services(): readonly string[];
  placement: SharedPlacement;
  feed: ObjectFeed;
  log: Log;
  now: () => number;
  wallNow: () => number;
}

export class UsageTracker {
  private readonly counts: UsageCounts;
  private readonly ledger = new UsageLedger();
  /** Identifies the process from its start; counts from before are added. */
  private readonly process: string;
  private readonly reporters = new Map<string, UsageReporter>();

  constructor(private readonly options: UsageTrackerOptions) {
    const { self, windows, wallNow } = options;
    this.counts = new UsageCounts(windows, wallNow);
    this.process = `${self}/${Math.round(wallNow())}`;
  }

  start(supervisor: Supervisor): void {
    supervisor.every("usage counts", PUBLISH_INTERVAL_MS, async () =>
      this.publish(),
    );
    supervisor.every("usage report", REPORT_CHECK_INTERVAL_MS, () =>
      this.report(),
    );
  }

  /** Counts a request of a workspace that began to run `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void {
    this.counts.record(workspace, agoMs);
  }

  /** Takes the counts of a process, of this one or of a peer. */
  recordCounts(process: string, window: WindowCounts): void {
    this.ledger.record(process, window);
  }

  /** Sends all counts to a newly connected holder, which has none of them. */
  onHolder(service: string): void {
    if (service !== this.service) return;
    this.options.placement.sendUsage(service, this.process, this.counts.all());
  }

  /** The service whose lease holder is responsible for the report. */
  private get service(): string | undefined {
    return [...this.options.services()].sort()[0];
  }

  private publish(): void {
    const { service } = this;
    const { placement } = this.options;
    if (service === undefined) return;
    const news = this.counts.takeChanges();
    if (placement.isHolder(service)) {
      for (const window of this.counts.all())
        this.recordCounts(this.process, window);
    } else if (news.length > 0) {
      placement.sendUsage(service, this.process, news);
    }
  }

  private async report(): Promise<void> {
    const { service } = this;
    if (service === undefined) return;
    const reporter = this.reporters.get(service) ?? this.newReporter(service);
    this.reporters.set(service, reporter);
    await reporter.step();
  }

  private newReporter(service: string): UsageReporter {
    const { placement, leaseMs, now, ...rest } = this.options;
    const guard = new TakeoverGuard(placement, service, leaseMs);
    const { ledger } = this;
    const fence = (): number | undefined => guard.fencingEpoch(now());
    return new UsageReporter({ ...rest, ledger, fence, now });
  }
}
