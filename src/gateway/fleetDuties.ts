/**
 * Duties of the fleet at one process: it counts the requests of workspaces
 * that begin to run, tells its counts to the process that holds the duty,
 * and reports for all while it holds the duty itself. The duty lies with the
 * holder of the first model service's lease.
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

/** Period of telling counts, ms: what a process that is lost takes along. */
const TELL_MS = 1000;
/** Period of looking for a report that is due, ms. */
const REPORT_MS = 300;

export interface FleetDutiesOptions {
  /** Name of this machine. */
  self: string;
  windows: UsageWindows;
  port: DutyPort;
  /** Time that calls of two holders must lie apart, ms. */
  leaseMs: number;
  /** Services that have engines. */
  services(): readonly string[];
  placement: SharedPlacement;
  feed: ObjectFeed;
  log: Log;
  now: () => number;
  wallNow: () => number;
}

export class FleetDuties {
  private readonly counts: UsageCounts;
  private readonly ledger = new UsageLedger();
  /** Names this life of the process: counts of an earlier one add to it. */
  private readonly process: string;
  private readonly reporters = new Map<string, UsageReporter>();

  constructor(private readonly options: FleetDutiesOptions) {
    const { self, windows, wallNow } = options;
    this.counts = new UsageCounts(windows, wallNow);
    this.process = `${self}/${Math.round(wallNow())}`;
  }

  start(supervisor: Supervisor): void {
    supervisor.every("usage counts", TELL_MS, async () => this.tell());
    supervisor.every("usage report", REPORT_MS, () => this.report());
  }

  /** A request of a workspace began to run `agoMs` ago. */
  onBegun(workspace: string, agoMs: number): void {
    this.counts.note(workspace, agoMs);
  }

  /** Another process has counted so. */
  onTold(process: string, window: WindowCounts): void {
    this.ledger.tell(process, window);
  }

  /** A holder that was just connected to knows nothing of this process. */
  onHolder(service: string): void {
    if (service !== this.service) return;
    this.options.placement.sendUsage(service, this.process, this.counts.all());
  }

  /** The service whose holder has the duty. */
  private get service(): string | undefined {
    return [...this.options.services()].sort()[0];
  }

  private tell(): void {
    const { service } = this;
    const { placement } = this.options;
    if (service === undefined) return;
    const news = this.counts.takeNews();
    if (placement.isHolder(service)) {
      for (const window of this.counts.all()) this.onTold(this.process, window);
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
