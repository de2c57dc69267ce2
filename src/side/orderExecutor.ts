/**
 * Executes the orders of one upstream, one at a time. The control record is
 * the only source of orders; a call from another process only triggers reading
 * it.
 *
 * Before sending an order to the engine, the side writes `started` to the
 * status record, which only the side that has claimed the upstream can do. It
 * then sends the order within a time window after that write, measured by its
 * monotonic clock. A side that was paused beyond the window has to write
 * again, which fails if another side has claimed the upstream since.
 */
import { isOrderPending } from "../control/index.js";
import type {
  ControlStore,
  Desired,
  Order,
  UpstreamStatus,
  Versioned,
} from "../control/index.js";
import { ROLES } from "../config/index.js";
import { ABSENT } from "../store/index.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import type { EngineState, ModelEngine } from "./engineAdmin.js";
import type { SideGate } from "./sideGate.js";

const MAX_ENGINE_ATTEMPTS = 100;

export interface OrderExecutorOptions {
  upstream: string;
  service: string;
  incarnation: string;
  control: ControlStore;
  /** Undefined for a plain service, which supports only drain and undrain. */
  engine: ModelEngine | undefined;
  gate: SideGate;
  log: Log;
  now: () => number;
  /** Time after the `started` write in which an order may be sent, ms. */
  windowMs: number;
  /** Interval between polls of the engine's state, ms. */
  pollMs: number;
}

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

/** Another side has claimed the upstream; this one sends no more orders. */
class SupersededError extends Error {}

export class OrderExecutor {
  private status: Versioned<UpstreamStatus> | undefined;
  private isRunning = false;
  private isNudged = false;
  private isSuperseded = false;

  constructor(private readonly options: OrderExecutorOptions) {}

  get superseded(): boolean {
    return this.isSuperseded;
  }

  /** Reads the control record and executes the pending order, if any. */
  async reconcile(): Promise<void> {
    this.isNudged = true;
    if (this.isRunning || this.isSuperseded) return;
    this.isRunning = true;
    try {
      while (this.isNudged) {
        this.isNudged = false;
        await this.reconcileOnce();
      }
    } catch (err) {
      this.onError(err);
    } finally {
      this.isRunning = false;
    }
  }

  private onError(err: unknown): void {
    const { log, gate } = this.options;
    if (!(err instanceof SupersededError)) {
      return log.warn("order reconciliation failed", { cause: errText(err) });
    }
    this.isSuperseded = true;
    gate.close("leaving");
    log.error("another side has claimed this upstream; this one stops");
  }

  private async reconcileOnce(): Promise<void> {
    const { control, service, upstream } = this.options;
    if (this.status === undefined) await this.claim();
    const record = await control.readControl(service);
    const desired = record.value.desired[upstream];
    this.applyDrain(desired);
    if (desired !== undefined) {
      if (isOrderPending(desired, this.status?.value)) {
        await this.execute(desired.order);
      } else {
        await this.restoreRole(desired);
      }
    }
    await this.readRole();
  }

  /** Sets the role for admission to the one that the engine reports. */
  private async readRole(): Promise<void> {
    const { engine, gate } = this.options;
    if (engine === undefined) return;
    const { role } = await engine.state();
    gate.setRole(ROLES.find((item) => item === role) ?? "mixed");
  }

  /** Claims the upstream before the first order. */
  private async claim(): Promise<void> {
    const { control, upstream, incarnation, windowMs, log } = this.options;
    const before = await control.readStatus(upstream);
    const value: UpstreamStatus = {
      seq: before?.value.seq ?? 0,
      phase: before?.value.phase ?? "claimed",
      detail: before?.value.detail ?? "",
      incarnation,
    };
    const expected = before?.version ?? ABSENT;
    const version = await control.writeStatus(upstream, value, expected);
    if (version === undefined)
      throw new Error("upstream claim conflicted with another write");
    this.status = { value, version };
    if (before === undefined) return;
    // A previous side may still be inside its window, so waits until it ends.
    log.info("upstream claimed from previous side", { waitMs: windowMs });
    await sleep(windowMs);
  }

  private applyDrain(desired: Desired | undefined): void {
    const { gate } = this.options;
    if (desired?.isDrained) gate.close("draining");
    else gate.open("draining");
  }

  /** Sets the role again if the engine has lost it by a restart. */
  private async restoreRole(desired: Desired): Promise<void> {
    const { engine } = this.options;
    if (engine === undefined || this.status?.value.phase === "failed") return;
    const state = await this.engineState();
    if (state.busyWith !== null || state.role === desired.role) return;
    const id = `${desired.order.id}.restore`;
    const action = { kind: "role", value: desired.role } as const;
    await this.execute({ ...desired.order, id, action });
  }

  private async execute(order: Order): Promise<void> {
    const { kind } = order.action;
    if (kind === "drain" || kind === "undrain") {
      if (kind === "drain") await this.options.gate.whenIdle();
      return this.finish(order, "done", "");
    }
    if (this.options.engine === undefined) {
      return this.finish(order, "failed", "a plain service has no engine");
    }
    await this.executeOnEngine(order, this.options.engine);
  }

  private async executeOnEngine(
    order: Order,
    engine: ModelEngine,
  ): Promise<void> {
    const { gate } = this.options;
    // Loading another model or adapter doesn't affect requests in flight.
    const isAdditive =
      order.action.kind === "load-model" ||
      order.action.kind === "load-adapter";
    if (!isAdditive) gate.close("busy");
    try {
      if (!isAdditive) await gate.whenIdle();
      await this.sendUntilDone(order, engine);
    } finally {
      gate.open("busy");
    }
  }

  /** Checks the engine's state before each send, so that no order runs twice. */
  private async sendUntilDone(
    order: Order,
    engine: ModelEngine,
  ): Promise<void> {
    let attempts = 0;
    while (attempts < MAX_ENGINE_ATTEMPTS) {
      const outcome = await this.engineOutcome(order);
      if (outcome === "done") return this.finish(order, "done", "");
      if (outcome !== "running") attempts += 1;
      if (outcome === "absent") await this.sendInWindow(order, engine);
      await sleep(this.options.pollMs);
    }
    await this.finish(order, "failed", "the engine did not carry it out");
  }

  private async sendInWindow(order: Order, engine: ModelEngine): Promise<void> {
    const { now, windowMs, log } = this.options;
    const writtenAt = now();
    const fence = await this.write(order, "started", "");
    // Checked right before the send, to detect a pause of this process.
    if (now() >= writtenAt + windowMs) return;
    const { id: orderId, action } = order;
    const sent = await engine.order({ orderId, fence, action });
    if (sent.kind !== "started")
      log.warn("engine order not started", { cause: sent.why });
  }

  /** Returns the state of an order as the engine reports it. */
  private async engineOutcome(
    order: Order,
  ): Promise<"done" | "running" | "absent" | "unreachable"> {
    let state: EngineState;
    try {
      state = await this.engineState();
    } catch {
      return "unreachable";
    }
    if (state.busyWith !== null) return "running";
    if (state.lastOrder?.orderId === order.id) return "done";
    return "absent";
  }

  private async engineState(): Promise<EngineState> {
    const { engine } = this.options;
    if (engine === undefined) throw new Error("no engine");
    return engine.state();
  }

  private async finish(
    order: Order,
    phase: "done" | "failed",
    detail: string,
  ): Promise<void> {
    await this.write(order, phase, detail);
    this.options.log.info("order finished", { order: order.id, phase });
  }

  /**
   * Writes the status and returns its version, the fencing token. Throws a
   * SupersededError if another side has claimed the upstream.
   */
  private async write(
    order: Order,
    phase: UpstreamStatus["phase"],
    detail: string,
  ): Promise<number> {
    const { control, upstream, incarnation } = this.options;
    const value = { incarnation, seq: order.seq, phase, detail };
    const expected = this.status?.version ?? ABSENT;
    const version =
      (await control.writeStatus(upstream, value, expected)) ??
      (await this.writeAfterOwn(value));
    if (version === undefined) throw new SupersededError();
    this.status = { value, version };
    return version;
  }

  /**
   * Writes the status after a conflict, which an earlier write of this side may
   * be the cause of: it can take effect although its answer was lost. Undefined
   * if another side has claimed the upstream.
   */
  private async writeAfterOwn(
    value: UpstreamStatus,
  ): Promise<number | undefined> {
    const { control, upstream, incarnation } = this.options;
    const current = await control.readStatus(upstream);
    if (current?.value.incarnation !== incarnation) return undefined;
    return control.writeStatus(upstream, value, current.version);
  }
}
