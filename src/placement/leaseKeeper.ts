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
import { ABSENT } from "../store/index.js";
import type { FeedItem, ObjectFeed } from "../store/index.js";
import type { Log } from "../telemetry/index.js";

/** Object kind of leases; named by their service. */
export const LEASE_KIND = "leases";

const leaseSchema = z.object({
  holder: z.string(),
  /** Grows with each new holder; orders bear it. */
  epoch: z.number(),
  /** Grows with each renewal. */
  beat: z.number(),
  /** Where the holder places requests. */
  address: z.string(),
});

type StoredLease = z.infer<typeof leaseSchema>;

export interface LeaseKeeperOptions {
  feed: ObjectFeed;
  service: string;
  self: string;
  address: string;
  leaseMs: number;
  /** How long it leaves a free lease to others, ms. */
  patienceMs: number;
  log: Log;
  now: () => number;
}

export class LeaseKeeper {
  private state: LeaseState = NO_LEASE;
  private stored: StoredLease | undefined;
  private revision = ABSENT;
  private mustRead = true;
  /** Since when it has been looking for a holder, ms. */
  private lookingSince: number | undefined;

  constructor(private readonly options: LeaseKeeperOptions) {}

  /** Whether this process took the lease and has seen no other holder. */
  get isHolder(): boolean {
    return this.state.sentAt !== undefined;
  }

  /** Whether orders may be given now. */
  get isFresh(): boolean {
    const { self, leaseMs, now } = this.options;
    return isHolding(this.state, self, leaseMs, now());
  }

  get epoch(): number {
    return this.stored?.epoch ?? 0;
  }

  /** Address of the holder, if it is another process. */
  get otherHolder(): string | undefined {
    if (this.isHolder || this.stored === undefined) return undefined;
    const isSelf = this.stored.holder === this.options.self;
    return isSelf ? undefined : this.stored.address;
  }

  /** One step; `mustLook`: the holder can't be reached or is unsure. */
  async step(mustLook: boolean): Promise<void> {
    const { self, leaseMs, now } = this.options;
    if (!this.isHolder && !mustLook) {
      this.lookingSince = undefined;
      return;
    }
    this.lookingSince ??= now();
    if (this.mustRead || !this.isHolder) await this.read();
    switch (leaseStep(this.state, self, leaseMs, now())) {
      case "wait":
        return;
      case "renew":
        return this.write(this.epoch, (this.stored?.beat ?? 0) + 1);
      case "take":
        if (now() - this.lookingSince < this.options.patienceMs) return;
        return this.write(this.epoch + 1, 0);
    }
  }

  private async read(): Promise<void> {
    const { feed, service } = this.options;
    const { items } = await feed.list(LEASE_KIND);
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
    this.revision = item?.revision ?? ABSENT;
    const hasOtherEpoch = before?.epoch !== parsed.data?.epoch;
    this.state = seeLease(this.state, parsed.data ?? null, self, now());
    if (hasOtherEpoch) {
      this.lookingSince = now();
      this.state = { ...this.state, sentAt: undefined };
    }
    if (wasHolder && !this.isHolder) {
      log.warn("lease lost", { service, holder: parsed.data?.holder });
    }
  }

  private async write(epoch: number, beat: number): Promise<void> {
    const { feed, service, self, address, log, now } = this.options;
    const lease: StoredLease = { holder: self, epoch, beat, address };
    const sentAt = now();
    const result = await feed.write(LEASE_KIND, service, lease, this.revision);
    switch (result.kind) {
      case "written": {
        const isNew = !this.isHolder;
        this.stored = lease;
        this.revision = result.item.revision;
        this.state = leaseWritten(lease, sentAt);
        if (isNew) log.info("lease taken", { service, epoch });
        return;
      }
      case "conflict":
        this.see(result.current);
        return;
      case "refused":
      case "unknown":
        this.mustRead = true;
        log.warn("lease not written", {
          service,
          epoch,
          outcome: result.kind,
          why: result.why,
        });
    }
  }
}
