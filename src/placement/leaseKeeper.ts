/**
 * Acquires and renews the lease of one service's scheduler in the store. The
 * lease holder places the requests of all entries and orders stage changes.
 * Placing needs no authority; orders need a recently renewed lease.
 */
import { z } from "zod/v4";

import {
  isLeaseHeld,
  nextLeaseStep,
  leaseAfterWrite,
  NO_LEASE,
  observeLease,
} from "../control/leaseState.js";
import type { LeaseState } from "../control/leaseState.js";
import { ABSENT, decodePosition } from "../store/index.js";
import type { FeedItem, ObjectFeed } from "../store/index.js";
import type { PrefillCost } from "../scheduling/index.js";
import type { Log } from "../telemetry/index.js";

/** Object kind of leases; each is named after its service. */
export const LEASE_KIND = "leases";

/** Leaves room to count on: no holder has come near it. */
const MAX_COUNT = Number.MAX_SAFE_INTEGER / 2;

const countSchema = z.number().int().nonnegative().max(MAX_COUNT);

const leaseSchema = z.object({
  holder: z.string(),
  /** Incremented with each new holder; sent as the fencing number of orders. */
  epoch: countSchema,
  /** Incremented with each renewal. */
  beat: countSchema,
  /** Address at which the holder accepts placement requests. */
  address: z.string(),
  /**
   * The holder's measurements of its engines' pace, so that the next holder
   * need not start from estimates; absent until something is measured.
   */
  pace: z
    .object({ fixedMs: z.number(), tokenMs: z.number(), mPairMs: z.number() })
    .optional(),
});

type StoredLease = z.infer<typeof leaseSchema>;

/** Identifies one state of a lease; changes with each renewal. */
export interface LeaseVersion {
  epoch: number;
  beat: number;
}

/** The holder of a lease, as reported by another process. */
export interface NewHolder {
  address: string;
  epoch: number;
}

export interface LeaseKeeperOptions {
  feed: ObjectFeed;
  service: string;
  self: string;
  address: string;
  leaseMs: number;
  /** How long a free lease is left to other processes, ms. */
  acquireDelayMs: number;
  /** The same for a lease that has never been held, ms. */
  firstAcquireDelayMs: number;
  /** What this process has measured of its engines' pace. */
  pace(): PrefillCost | undefined;
  /**
   * Called with the pace stored by the previous holder, which may be an earlier
   * run of this process.
   */
  onPace(cost: PrefillCost): void;
  log: Log;
  /**
   * Clock for how long others have left the lease unchanged; excludes time in
   * which the machine was suspended.
   */
  now: () => number;
  /**
   * Clock for how long this process may rely on its lease; includes time in
   * which the machine was suspended.
   */
  leaseNow: () => number;
}

export class LeaseKeeper {
  private state: LeaseState = NO_LEASE;
  /** When this process last became the holder, ms. */
  private takenAt = -Infinity;
  private stored: StoredLease | undefined;
  private revision = ABSENT;
  /**
   * Highest epoch seen: a fencing number never decreases, even after an
   * unreadable lease.
   */
  private highestEpoch = 0;
  private mustRead = true;
  /** Position of the store at the last read of the lease. */
  private readAt = 0;
  /** Epoch of the last holder that a peer reported. */
  private reportedEpoch = 0;
  /** Whether this process has sent a write for the lease since it started. */
  private hasSentWrite = false;
  /** Since when this process has been looking for a holder, ms. */
  private lookingSince: number | undefined;

  constructor(private readonly options: LeaseKeeperOptions) {}

  /** Whether this process took the lease and has seen no other holder since. */
  get isHolder(): boolean {
    return this.state.sentAt !== undefined;
  }

  /** How long it has been the holder, ms; 0 if it is not. */
  get heldMs(): number {
    return this.isHolder ? this.options.now() - this.takenAt : 0;
  }

  /** Whether the lease is recent enough to give orders. */
  get isFresh(): boolean {
    const { self, leaseMs, leaseNow } = this.options;
    return isLeaseHeld(this.state, self, leaseMs, leaseNow());
  }

  get epoch(): number {
    return this.stored?.epoch ?? 0;
  }

  /** Address of the holder, if it is another process. */
  get otherHolderAddress(): string | undefined {
    if (this.isHolder || this.stored === undefined) return undefined;
    const isSelf = this.stored.holder === this.options.self;
    return isSelf ? undefined : this.stored.address;
  }

  /**
   * Whether the lease was written by an earlier run of this process at the same
   * address: nobody holds it any more, so there is nothing to wait for.
   */
  private get isFromEarlierRun(): boolean {
    const { self, address } = this.options;
    const { stored } = this;
    const isOwn = stored?.holder === self && stored.address === address;
    return isOwn && !this.isHolder && !this.hasSentWrite;
  }

  /** Records the lease version that the holder reported just now. */
  onLeaseReported(told: LeaseVersion): void {
    const { stored } = this;
    if (this.isHolder || stored === undefined) return;
    if (told.epoch !== stored.epoch || told.beat < stored.beat) return;
    const lease = { ...stored, beat: told.beat };
    this.stored = lease;
    const { self, now } = this.options;
    this.state = observeLease(this.state, lease, self, now());
  }

  /**
   * Another process has taken the lease with this epoch. Peers report it to
   * processes that cannot read it in the store. Returns whether it is news.
   */
  onHolderReported({ address, epoch }: NewHolder): boolean {
    const { self, service, now, log } = this.options;
    const isKnown = epoch <= Math.max(this.epoch, this.highestEpoch);
    const isUsable = address !== "" && address !== this.options.address;
    if (isKnown || !isUsable) return false;
    if (this.isHolder) log.warn("lease lost", { service, holder: address });
    const lease: StoredLease = { holder: address, epoch, beat: 0, address };
    this.stored = lease;
    this.highestEpoch = epoch;
    this.reportedEpoch = epoch;
    // The stored object has a revision that is not known here.
    this.mustRead = true;
    const state = observeLease(this.state, lease, self, now());
    this.state = { ...state, sentAt: undefined };
    return true;
  }

  /**
   * The version that this process wrote last as the holder; undefined if it is
   * not the holder.
   */
  get version(): LeaseVersion | undefined {
    if (!this.isHolder || this.stored === undefined) return undefined;
    const { epoch, beat } = this.stored;
    return { epoch, beat };
  }

  /**
   * Runs one step. `mustLook`: the holder is unreachable or its lease not
   * fresh.
   */
  async step(mustLook: boolean): Promise<void> {
    const { self, leaseMs, now, leaseNow } = this.options;
    if (!this.isHolder && !mustLook) {
      this.lookingSince = undefined;
      return;
    }
    this.lookingSince ??= now();
    if (this.mustRead || !this.isHolder) await this.read();
    const next = this.isFromEarlierRun
      ? "take"
      : nextLeaseStep(this.state, self, leaseMs, now(), leaseNow());
    switch (next) {
      case "wait":
        return;
      case "renew":
        return this.write(this.epoch, (this.stored?.beat ?? 0) + 1);
      case "take":
        if (now() - this.lookingSince < this.effectiveDelayMs) return;
        return this.write(this.nextEpoch, 0);
    }
  }

  /**
   * A store restored from a copy loses epochs that orders have already carried,
   * and every process that knew them may be gone too. Store positions still
   * increase, and each lease is taken at a later position than the one before,
   * so after a restore the position serves as the epoch. No holder of an
   * earlier era has used it, not even one whose lease a late write has hidden.
   */
  private get nextEpoch(): number {
    const { era } = decodePosition(this.readAt);
    return Math.max(this.highestEpoch + 1, era > 0 ? this.readAt : 0);
  }

  private get effectiveDelayMs(): number {
    const { acquireDelayMs, firstAcquireDelayMs } = this.options;
    return this.stored === undefined ? firstAcquireDelayMs : acquireDelayMs;
  }

  private async read(): Promise<void> {
    const { feed, service } = this.options;
    const reportedBefore = this.reportedEpoch;
    const { items, revision } = await feed.list(LEASE_KIND);
    // The list may be older than a report that arrived while it was awaited.
    if (this.reportedEpoch !== reportedBefore) return;
    this.readAt = revision;
    this.see(items.find((item) => item.name === service));
    this.mustRead = false;
  }

  private see(item: FeedItem | undefined): void {
    const { self, now, log, service } = this.options;
    const parsed = leaseSchema.safeParse(item?.value);
    if (item !== undefined && !parsed.success) {
      log.error("stored lease can't be parsed", {
        service,
        why: parsed.error.message,
      });
    }
    const wasHolder = this.isHolder;
    const before = this.stored;
    this.stored = parsed.data;
    this.highestEpoch = Math.max(this.highestEpoch, parsed.data?.epoch ?? 0);
    this.revision = item?.revision ?? ABSENT;
    const pace = parsed.data?.pace;
    if (pace !== undefined && !wasHolder) this.options.onPace(pace);
    const hasOtherEpoch = before?.epoch !== parsed.data?.epoch;
    this.state = observeLease(this.state, parsed.data ?? null, self, now());
    if (hasOtherEpoch) {
      this.lookingSince = now();
      this.state = { ...this.state, sentAt: undefined };
    }
    // This process's lease was newer than the copy that the store was restored
    // from.
    if (wasHolder && item === undefined) this.lookingSince = -Infinity;
    if (wasHolder && !this.isHolder) {
      log.warn("lease lost", { service, holder: parsed.data?.holder });
    }
  }

  private async write(epoch: number, beat: number): Promise<void> {
    const { feed, service, self, address, log, now, leaseNow } = this.options;
    const pace = this.options.pace();
    const lease: StoredLease = { holder: self, epoch, beat, address, pace };
    const sentAt = { now: now(), leaseNow: leaseNow() };
    const reportedBefore = this.reportedEpoch;
    const result = await feed.write(LEASE_KIND, service, lease, this.revision);
    const isSent = result.kind !== "refused" && result.kind !== "went-back";
    if (isSent) this.hasSentWrite = true;
    // The lease has been taken with a newer epoch since: an answer that is late
    // must not make this process the holder again.
    const isOutdated =
      this.reportedEpoch !== reportedBefore && this.reportedEpoch >= epoch;
    if (isOutdated) {
      this.mustRead = true;
      const fields = { service, epoch, outcome: result.kind };
      return log.warn("lease not kept, newer holder reported", fields);
    }
    switch (result.kind) {
      case "written": {
        const isNew = !this.isHolder;
        this.stored = lease;
        this.highestEpoch = epoch;
        this.revision = result.item.revision;
        this.state = leaseAfterWrite(lease, sentAt.now, sentAt.leaseNow);
        if (isNew) this.takenAt = this.options.now();
        if (isNew) log.info("lease taken", { service, epoch });
        return;
      }
      case "conflict":
        this.see(result.current);
        return;
      case "refused":
      case "unknown":
      case "went-back": {
        this.mustRead = true;
        const why = result.kind === "went-back" ? undefined : result.why;
        const fields = { service, epoch, outcome: result.kind, why };
        return log.warn("lease not written", fields);
      }
    }
  }
}
