/**
 * The control loop of one service. The entry that holds the service's lease
 * renews it, notifies sides of pending orders and plans engine roles.
 */
import { randomUUID } from "node:crypto";

import {
  isLeaseHeld,
  isOrderPending,
  nextLeaseStep,
  leaseAfterWrite,
  NO_LEASE,
  recordRoleChange,
  giveOrder,
  renewLease,
  observeLease,
  takeLease,
} from "../control/index.js";
import type {
  ControlRecord,
  ControlStore,
  LeaseState,
  Versioned,
} from "../control/index.js";
import type { Service } from "../config/index.js";
import type { PeerLink } from "../peers/index.js";
import { updateTokenRates, planRole } from "../roles/index.js";
import type { TokenRates, EngineReport, RolePlan } from "../roles/index.js";
import { parseSideReport } from "../side/sideReport.js";
import type { SideReport } from "../side/sideReport.js";
import type { Log } from "../telemetry/index.js";

/** Estimated time that an engine is unavailable during a role change, ms. */
const ROLE_CHANGE_MS = 5000;
const REPORT_PERIOD_MS = 2000;

/** Calls from the control loop to sides. */
export type SideCalls = Pick<PeerLink, "nudge" | "report">;

export interface ControlLoopOptions {
  self: string;
  leaseMs: number;
  control: ControlStore;
  link: SideCalls;
  log: Log;
  now: () => number;
  wallClock: () => number;
}

export class ControlLoop {
  private lease: LeaseState = NO_LEASE;
  private readonly tokenRates = new Map<string, TokenRates>();
  private readonly reports = new Map<string, SideReport>();
  private lastReportAt = -Infinity;
  /** Latest role plan, shown by the `explain` command. */
  lastPlan: RolePlan = { kind: "keep", why: "no plan was made yet" };

  constructor(private readonly options: ControlLoopOptions) {}

  get isHolder(): boolean {
    const { self, leaseMs, now } = this.options;
    return isLeaseHeld(this.lease, self, leaseMs, now());
  }

  get epoch(): number {
    return this.lease.seen?.epoch ?? 0;
  }

  /** Runs one step with the service's current configuration. */
  async step(service: Service): Promise<void> {
    const { control, self, leaseMs, now } = this.options;
    const read = await control.readControl(service.name);
    this.lease = observeLease(this.lease, read.value.lease, self, now());
    const current = await this.maintainLease(service.name, read);
    if (current === undefined) return;
    if (!isLeaseHeld(this.lease, self, leaseMs, now())) return;
    await this.notifyPendingOrders(service, current.value);
    await this.planRoles(service, current);
  }

  /**
   * Takes or renews the lease. Returns the control record if this process
   * holds the lease, else undefined.
   */
  private async maintainLease(
    service: string,
    read: Versioned<ControlRecord>,
  ): Promise<Versioned<ControlRecord> | undefined> {
    const { control, self, leaseMs, now, log } = this.options;
    const step = nextLeaseStep(this.lease, self, leaseMs, now());
    if (step === "wait") return this.isHolder ? read : undefined;
    const { lease } = read.value;
    const next =
      step === "renew" && lease !== null
        ? renewLease(read.value, lease)
        : takeLease(read.value, self);
    const sentAt = now();
    const version = await control.writeControl(service, next, read.version);
    if (version === undefined || next.lease === null) return undefined;
    this.lease = leaseAfterWrite(next.lease, sentAt);
    if (step === "take") {
      log.info("lease taken", { service, epoch: next.lease.epoch });
    }
    return { value: next, version };
  }

  private async notifyPendingOrders(
    service: Service,
    record: ControlRecord,
  ): Promise<void> {
    const { control, link, log } = this.options;
    for (const upstream of service.upstreams) {
      const desired = record.desired[upstream.id];
      if (desired === undefined) continue;
      const status = await control.readStatus(upstream.id);
      if (!isOrderPending(desired, status?.value)) continue;
      const { seq } = desired.order;
      const hint = { upstream: upstream.id, seq };
      link.nudge(upstream.peerAddress, hint).catch(() => {
        log.debug("side not notified of order", { upstream: upstream.id });
      });
    }
  }

  private async planRoles(
    service: Service,
    current: Versioned<ControlRecord>,
  ): Promise<void> {
    const { now, wallClock, control, log, self } = this.options;
    if (service.kind !== "model") return;
    if (now() - this.lastReportAt < REPORT_PERIOD_MS) return;
    this.lastReportAt = now();
    await this.fetchReports(service);
    const { roleChangedAt } = current.value;
    this.lastPlan = planRole({
      service,
      engines: this.engineReports(service),
      sinceChangeMs: wallClock() - roleChangedAt,
      roleChangeMs: ROLE_CHANGE_MS,
    });
    if (this.lastPlan.kind === "keep" || !this.isHolder) return;
    const { upstream, role, why } = this.lastPlan;
    const status = await control.readStatus(upstream);
    const answer = giveOrder(current.value, status?.value, {
      id: randomUUID(),
      upstream,
      action: { kind: "role", value: role },
      by: `control loop of ${self}`,
    });
    if (answer.kind !== "accepted") return;
    const record = recordRoleChange(answer.record, wallClock());
    // Uses the version read before planning, so that the write fails if
    // another process has taken the lease since.
    const version = await control.writeControl(
      service.name,
      record,
      current.version,
    );
    if (version !== undefined)
      log.info("role change ordered", { upstream, why });
  }

  private async fetchReports(service: Service): Promise<void> {
    const { link, now } = this.options;
    await Promise.all(
      service.upstreams.map(async ({ id, peerAddress }) => {
        try {
          const { json } = await link.report(peerAddress);
          const report = parseSideReport(json);
          this.reports.set(id, report);
          const next = updateTokenRates(this.tokenRates.get(id), report, now());
          this.tokenRates.set(id, next);
        } catch {
          this.reports.delete(id);
        }
      }),
    );
  }

  private engineReports(service: Service): EngineReport[] {
    const { now } = this.options;
    const found: EngineReport[] = [];
    for (const { id } of service.upstreams) {
      const report = this.reports.get(id);
      const demand = this.tokenRates.get(id);
      if (report === undefined || demand === undefined) continue;
      found.push({
        upstream: id,
        role: report.role,
        isAvailable: report.state === "open",
        prefillPerSecond: demand.prefillPerSecond,
        decodePerSecond: demand.decodePerSecond,
        ageMs: now() - demand.at,
      });
    }
    return found;
  }
}
