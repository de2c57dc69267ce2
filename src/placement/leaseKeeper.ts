/**
 * Keeps or seeks the lease of one service's scheduler in the store. Its
 * holder places the requests of all entries and orders changes of stage;
 * placing needs no authority, orders need a lease that was renewed lately.
 */
import { z } from "zod/v4";

import {
  isHolding,
  leaseStep,
  leaseWritten,
  NO_LEASE,
  seeLease,
} from "../control/leaseState.js";
import type { LeaseState } from "../control/leaseState.js";
import { ABSENT, fromPosition } from "../store/index.js";
import type { FeedItem, ObjectFeed } from "../store/index.js";
import type { ReadCost } from "../scheduling/index.js";
import type { Log } from "../telemetry/index.js";

/** Object kind of leases; named by their service. */
export const LEASE_KIND = "leases";

const leaseSchema = z.object({
  holder: z.string(),
  /** Grows with each new holder; orders bear it. */
  epoch: z.number().int().nonnegative(),
  /** Grows with each renewal. */
  beat: z.number().int().nonnegative(),
  /** Where the holder places requests. */
  address: z.string(),
  /**
   * What the holder has learnt of its engines' pace, so that the next one
   * need not begin with guesses; absent while it has learnt nothing.
   */
  pace: z
    .object({ fixedMs: z.number(), tokenMs: z.number(), mPairMs: z.number() })
    .optional(),
});

type StoredLease = z.infer<typeof leaseSchema>;

/** One state of a lease: it changes with each renewal. */
export interface LeaseVersion {
  epoch: number;
  beat: number;
}

export interface LeaseKeeperOptions {
  feed: ObjectFeed;
  service: string;
  self: string;
  address: string;
  leaseMs: number;
  /** How long it leaves a free lease to others, ms. */
  acquireDelayMs: number;
  /** The same for a lease that nobody has held before, ms. */
  firstAcquireDelayMs: number;
  /** What this process has learnt of its engines' pace. */
  pace(): ReadCost | undefined;
  /** What the last holder had learnt was read; also an own earlier life. */
  onPace(cost: ReadCost): void;
  log: Log;
  /** For how long others left the lease alone: no suspension counts. */
  now: () => number;
  /** For how long this process may rely on it: suspensions count. */
  leaseNow: () => number;
}

export class LeaseKeeper {
  private state: LeaseState = NO_LEASE;
  private stored: StoredLease | undefined;
  private revision = ABSENT;
  /** Of the leases seen: a fence never falls, also past an unreadable one. */
  private highestEpoch = 0;
  private mustRead = true;
  /** Position of the store when the lease was read last. */
  private readAt = 0;
  /** Whether this process has sought it in this life. */
  private hasHeld = false;
  /** Since when it has been looking for a holder, ms. */
  private lookingSince: number | undefined;

  constructor(private readonly options: LeaseKeeperOptions) {}

  /** Whether this process took the lease and has seen no other holder. */
  get isHolder(): boolean {
    return this.state.sentAt !== undefined;
  }

  /** Whether orders may be given now. */
  get isFresh(): boolean {
    const { self, leaseMs, leaseNow } = this.options;
    return isHolding(this.state, self, leaseMs, leaseNow());
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
   * The lease of an earlier life of this process, on this machine: nobody
   * holds it any more, so that there is nothing to wait for.
   */
  private get isOwnLeftover(): boolean {
    const { self, address } = this.options;
    const { stored } = this;
    const isOwn = stored?.holder === self && stored.address === address;
    return isOwn && !this.isHolder && !this.hasHeld;
  }

  /** The holder said that its lease stood so a moment ago. */
  onLeaseReported(told: LeaseVersion): void {
    const { stored } = this;
    if (this.isHolder || stored === undefined) return;
    if (told.epoch !== stored.epoch || told.beat < stored.beat) return;
    const lease = { ...stored, beat: told.beat };
    this.stored = lease;
    const { self, now } = this.options;
    this.state = seeLease(this.state, lease, self, now());
  }

  /** What this process wrote last as the holder; undefined for others. */
  get version(): LeaseVersion | undefined {
    if (!this.isHolder || this.stored === undefined) return undefined;
    const { epoch, beat } = this.stored;
    return { epoch, beat };
  }

  /** One step; `mustLook`: the holder can't be reached or is unsure. */
  async step(mustLook: boolean): Promise<void> {
    const { self, leaseMs, now, leaseNow } = this.options;
    if (!this.isHolder && !mustLook) {
      this.lookingSince = undefined;
      return;
    }
    this.lookingSince ??= now();
    if (this.mustRead || !this.isHolder) await this.read();
    const next = this.isOwnLeftover
      ? "take"
      : leaseStep(this.state, self, leaseMs, now(), leaseNow());
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
   * A store that has come back from a copy forgets epochs that orders have
   * borne, and so may every process that knew them. Its positions go on, and
   * each lease is taken behind the one before: they are fences that no holder
   * of an earlier era has had, nor one that a late write has hidden.
   */
  private get nextEpoch(): number {
    const { era } = fromPosition(this.readAt);
    return Math.max(this.highestEpoch + 1, era > 0 ? this.readAt : 0);
  }

  private get effectiveDelayMs(): number {
    const { acquireDelayMs, firstAcquireDelayMs } = this.options;
    return this.stored === undefined ? firstAcquireDelayMs : acquireDelayMs;
  }

  private async read(): Promise<void> {
    const { feed, service } = this.options;
    const { items, revision } = await feed.list(LEASE_KIND);
    this.readAt = revision;
    this.see(items.find((item) => item.name === service));
    this.mustRead = false;
  }

  private see(item: FeedItem | undefined): void {
    const { self, now, log, service } = this.options;
    const parsed = leaseSchema.safeParse(item?.value);
    if (item !== undefined && !parsed.success) {
      log.error("lease can't be read", { service, why: parsed.error.message });
    }
    const wasHolder = this.isHolder;
    const before = this.stored;
    this.stored = parsed.data;
    this.highestEpoch = Math.max(this.highestEpoch, parsed.data?.epoch ?? 0);
    this.revision = item?.revision ?? ABSENT;
    const pace = parsed.data?.pace;
    if (pace !== undefined && !wasHolder) this.options.onPace(pace);
    const hasOtherEpoch = before?.epoch !== parsed.data?.epoch;
    this.state = seeLease(this.state, parsed.data ?? null, self, now());
    if (hasOtherEpoch) {
      this.lookingSince = now();
      this.state = { ...this.state, sentAt: undefined };
    }
    // Its lease was newer than the copy that the store came back from.
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
    const result = await feed.write(LEASE_KIND, service, lease, this.revision);
    const isSent = result.kind !== "refused" && result.kind !== "went-back";
    if (isSent) this.hasHeld = true;
    switch (result.kind) {
      case "written": {
        const isNew = !this.isHolder;
        this.stored = lease;
        this.highestEpoch = epoch;
        this.revision = result.item.revision;
        this.state = leaseWritten(lease, sentAt.now, sentAt.leaseNow);
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
