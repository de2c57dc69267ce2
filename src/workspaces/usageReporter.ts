/**
 * Sends the fleet's usage report: one call per window, by the process that holds
 * the duty. A report is written to the store before it is sent, so that a new
 * holder resends the same report or continues after it: two reports of a window
 * never differ. A holder sends only while its lease is valid, and only once the
 * previous holder can no longer send.
 */
import { z } from "zod/v4";

import type { FeedItem, ObjectFeed } from "../store/index.js";
import { ABSENT } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import { oldestDue, windowAt } from "./usageCounts.js";
import type { UsageLedger, UsageWindows } from "./usageCounts.js";

/** Kind and name of the stored object with the last report. */
export const DUTY_KIND = "duties";
const USAGE_NAME = "usage";

/**
 * Fraction of the time until a report is due that is spent waiting for counts:
 * 3 s of 10 s, three times the interval between two messages of an entry. The
 * rest is left for a takeover, which takes about 5 s, and for failed calls.
 */
const SETTLE_FRACTION = 0.3;
/** Delay before a retry after a failed call, ms. */
const RETRY_MS = 500;

const recordSchema = z.object({
  windowSeq: z.number(),
  counts: z.record(z.string(), z.number()),
});

/** The complete report of one window, as stored. */
export type UsageRecord = z.infer<typeof recordSchema>;

/** One call to the platform. */
export interface UsageCall extends UsageRecord {
  holder: string;
  /** Fencing token; increases with each new holder. */
  fence: number;
}

/** Result of a call. Repeating a call is always safe. */
export type DutyOutcome = { kind: "taken" } | { kind: "failed"; why: string };

/** The platform's interface for duties that one process does for the fleet. */
export interface DutyPort {
  reportUsage(call: UsageCall): Promise<DutyOutcome>;
}

export interface UsageReporterOptions {
  /** Name of this machine. */
  self: string;
  windows: UsageWindows;
  ledger: UsageLedger;
  feed: ObjectFeed;
  port: DutyPort;
  /** Current fencing token; undefined while this process must not act. */
  fence(): number | undefined;
  log: Log;
  now: () => number;
  wallNow: () => number;
}

export class UsageReporter {
  private record: UsageRecord | undefined;
  private revision = ABSENT;
  /** Whether the stored record must be read before the next step. */
  private needsRead = true;
  /** Whether `record` needs no more sending: it was accepted or is overdue. */
  private isFinished = false;
  /** The newest report that the platform accepted from this process. */
  private lastAccepted: UsageRecord | undefined;
  /** The window in which this process started: the first that it reports. */
  private firstWindow: number | undefined;
  private pausedUntil = 0;

  constructor(private readonly options: UsageReporterOptions) {}

  /** Makes the next step towards the report; at most a few calls. */
  async step(): Promise<void> {
    const { fence, now, wallNow, ledger, windows } = this.options;
    ledger.prune(oldestDue(wallNow(), windows) - 1);
    this.firstWindow ??= windowAt(wallNow(), windows.windowMs);
    if (fence() === undefined) {
      this.needsRead = true;
      return;
    }
    if (now() < this.pausedUntil) return;
    if (this.needsRead) await this.read();
    if (this.needsRead) return;
    if (this.record !== undefined && !this.isFinished) return this.send();
    const seq = this.nextWindow();
    if (seq !== undefined) await this.report(seq);
  }

  /** The first unreported window whose counts have had time to come in. */
  private nextWindow(): number | undefined {
    const { wallNow, windows } = this.options;
    const after = this.record?.windowSeq;
    const oldest = oldestDue(wallNow(), windows);
    const next = after === undefined ? (this.firstWindow ?? oldest) : after + 1;
    const seq = Math.max(next, oldest);
    const settledAt =
      (seq + 1) * windows.windowMs + windows.dueMs * SETTLE_FRACTION;
    return wallNow() >= settledAt ? seq : undefined;
  }

  private async read(): Promise<void> {
    const { feed, log } = this.options;
    try {
      const { items } = await feed.list(DUTY_KIND);
      this.adopt(items.find((item) => item.name === USAGE_NAME));
      this.needsRead = false;
    } catch (err) {
      this.pause();
      const why = err instanceof Error ? err.message : String(err);
      log.warn("last usage report not read from store", { why });
    }
  }

  /** Adopts the stored record, which another holder may not have sent yet. */
  private adopt(item: FeedItem | undefined): void {
    this.revision = item?.revision ?? ABSENT;
    this.isFinished = false;
    if (item === undefined) {
      this.record = undefined;
      return this.restoreAccepted();
    }
    const parsed = recordSchema.safeParse(item.value);
    if (parsed.success) {
      this.record = parsed.data;
      return this.restoreAccepted();
    }
    const why = parsed.error.message;
    this.options.log.error("last usage report in store is invalid", { why });
  }

  /**
   * Falls back to the last accepted report if the store has an older one. A store
   * restored from a backup may lack later reports; without this, a window could
   * be reported a second time with different counts.
   */
  private restoreAccepted(): void {
    const { lastAccepted } = this;
    if (lastAccepted === undefined) return;
    if ((this.record?.windowSeq ?? -Infinity) >= lastAccepted.windowSeq) return;
    this.record = lastAccepted;
    this.isFinished = true;
  }

  private async report(windowSeq: number): Promise<void> {
    const { feed, ledger, log } = this.options;
    const record = { windowSeq, counts: ledger.total(windowSeq) };
    const { revision } = this;
    const result = await feed.write(DUTY_KIND, USAGE_NAME, record, revision);
    if (result.kind !== "written") {
      this.needsRead = true;
      this.pause();
      log.warn("usage report not written to store", {
        windowSeq,
        why: result.kind,
      });
      return;
    }
    this.revision = result.item.revision;
    this.record = record;
    this.isFinished = false;
    await this.send();
  }

  private async send(): Promise<void> {
    const { port, self, fence, log, wallNow, windows } = this.options;
    const { record } = this;
    const current = fence();
    if (record === undefined || current === undefined) return;
    if (record.windowSeq < oldestDue(wallNow(), windows)) {
      this.isFinished = true;
      log.warn("usage report overdue, not sent", {
        windowSeq: record.windowSeq,
      });
      return;
    }
    const call = { ...record, holder: self, fence: current };
    const outcome = await port.reportUsage(call);
    const { windowSeq, counts } = record;
    if (outcome.kind === "taken") {
      this.isFinished = true;
      this.lastAccepted = record;
      const requests = Object.values(counts).reduce((sum, n) => sum + n, 0);
      log.info("usage reported", { windowSeq, requests, fence: current });
      return;
    }
    this.pause();
    log.warn("usage report call failed", { windowSeq, why: outcome.why });
  }

  private pause(): void {
    this.pausedUntil = this.options.now() + RETRY_MS;
  }
}
