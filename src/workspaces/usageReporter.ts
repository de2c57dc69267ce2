/**
 * The fleet's usage report: one call a window, by the process that holds the
 * duty. What is to be reported is written to the store before it is sent, so
 * that whoever takes over sends the very same or goes on after it: two
 * reports of one window never differ. A holder sends only while its lease is
 * fresh, and not before the one before it can have sent last.
 */
import { z } from "zod/v4";

import type { FeedItem, ObjectFeed } from "../store/index.js";
import { ABSENT } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import { oldestDue, windowAt } from "./usageCounts.js";
import type { UsageLedger, UsageWindows } from "./usageCounts.js";

/** Kind and name of the object that holds the last report. */
export const DUTY_KIND = "duties";
const USAGE_NAME = "usage";

/**
 * Part of the time until a report is due that is left for counts to come in:
 * 3 s of 10, three times as long as between two messages of an entry. The
 * rest is for a takeover, which takes some 5 s, and for calls that fail.
 */
const SETTLE_PART = 0.3;
/** Pause after a call that was not taken, ms. */
const RETRY_MS = 500;

const recordSchema = z.object({
  windowSeq: z.number(),
  counts: z.record(z.string(), z.number()),
});

/** A report, whole. */
export type UsageRecord = z.infer<typeof recordSchema>;

/** One call to the platform. */
export interface UsageCall extends UsageRecord {
  holder: string;
  /** Grows with each holder. */
  fence: number;
}

/** What a call came to; it may be made again in any case. */
export type DutyOutcome = { kind: "taken" } | { kind: "failed"; why: string };

/** The platform's interface for duties of the fleet. */
export interface DutyPort {
  reportUsage(call: UsageCall): Promise<DutyOutcome>;
}

export interface UsageReporterOptions {
  /** Name of the machine. */
  self: string;
  windows: UsageWindows;
  ledger: UsageLedger;
  feed: ObjectFeed;
  port: DutyPort;
  /** Fence to act with now; undefined while this process must not act. */
  fence(): number | undefined;
  log: Log;
  now: () => number;
  wallNow: () => number;
}

export class UsageReporter {
  private record: UsageRecord | undefined;
  private revision = ABSENT;
  /** Whether the record in the store has to be read. */
  private mustRead = true;
  /** Whether the platform has taken the record from this process. */
  private isTaken = false;
  /** The newest report that the platform has taken from this process. */
  private taken: UsageRecord | undefined;
  /** First window for which this process is answerable. */
  private first: number | undefined;
  private pausedUntil = 0;

  constructor(private readonly options: UsageReporterOptions) {}

  /** One step; makes a few calls at the most. */
  async step(): Promise<void> {
    const { fence, now, wallNow, ledger, windows } = this.options;
    ledger.prune(oldestDue(wallNow(), windows) - 1);
    this.first ??= windowAt(wallNow(), windows.windowMs);
    if (fence() === undefined) {
      this.mustRead = true;
      return;
    }
    if (now() < this.pausedUntil) return;
    if (this.mustRead) await this.read();
    if (this.mustRead) return;
    if (this.record !== undefined && !this.isTaken) return this.send();
    const seq = this.nextWindow();
    if (seq !== undefined) await this.report(seq);
  }

  /** The first window that is not reported and has settled. */
  private nextWindow(): number | undefined {
    const { wallNow, windows } = this.options;
    const after = this.record?.windowSeq;
    const oldest = oldestDue(wallNow(), windows);
    const next = after === undefined ? (this.first ?? oldest) : after + 1;
    const seq = Math.max(next, oldest);
    const settledAt =
      (seq + 1) * windows.windowMs + windows.dueMs * SETTLE_PART;
    return wallNow() >= settledAt ? seq : undefined;
  }

  private async read(): Promise<void> {
    const { feed, log } = this.options;
    try {
      const { items } = await feed.list(DUTY_KIND);
      this.see(items.find((item) => item.name === USAGE_NAME));
      this.mustRead = false;
    } catch (err) {
      this.pause();
      const why = err instanceof Error ? err.message : String(err);
      log.warn("last usage report not read", { why });
    }
  }

  /** What another holder wrote may not have been sent. */
  private see(item: FeedItem | undefined): void {
    this.revision = item?.revision ?? ABSENT;
    this.isTaken = false;
    if (item === undefined) {
      this.record = undefined;
      return this.recall();
    }
    const parsed = recordSchema.safeParse(item.value);
    if (parsed.success) {
      this.record = parsed.data;
      return this.recall();
    }
    const why = parsed.error.message;
    this.options.log.error("last usage report can't be read", { why });
  }

  /**
   * A store that has come back from a copy may lack what was sent since: no
   * window is reported a second time, with other counts.
   */
  private recall(): void {
    const { taken } = this;
    if (taken === undefined) return;
    if ((this.record?.windowSeq ?? -Infinity) >= taken.windowSeq) return;
    this.record = taken;
    this.isTaken = true;
  }

  private async report(windowSeq: number): Promise<void> {
    const { feed, ledger, log } = this.options;
    const record = { windowSeq, counts: ledger.total(windowSeq) };
    const { revision } = this;
    const result = await feed.write(DUTY_KIND, USAGE_NAME, record, revision);
    if (result.kind !== "written") {
      this.mustRead = true;
      this.pause();
      log.warn("usage report not written", { windowSeq, why: result.kind });
      return;
    }
    this.revision = result.item.revision;
    this.record = record;
    this.isTaken = false;
    await this.send();
  }

  private async send(): Promise<void> {
    const { port, self, fence, log, wallNow, windows } = this.options;
    const { record } = this;
    const current = fence();
    if (record === undefined || current === undefined) return;
    if (record.windowSeq < oldestDue(wallNow(), windows)) {
      this.isTaken = true;
      log.warn("usage report missed", { windowSeq: record.windowSeq });
      return;
    }
    const call = { ...record, holder: self, fence: current };
    const outcome = await port.reportUsage(call);
    const { windowSeq, counts } = record;
    if (outcome.kind === "taken") {
      this.isTaken = true;
      this.taken = record;
      const requests = Object.values(counts).reduce((sum, n) => sum + n, 0);
      log.info("usage reported", { windowSeq, requests, fence: current });
      return;
    }
    this.pause();
    log.warn("usage not reported", { windowSeq, why: outcome.why });
  }

  private pause(): void {
    this.pausedUntil = this.options.now() + RETRY_MS;
  }
}
