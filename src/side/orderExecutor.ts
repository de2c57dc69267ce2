/**
 * Carries out the orders of one upstream, one at a time. The control record
 * is the only authority: a call of another process is a hint to read it.
 *
 * Before an order goes to the engine the side writes `started` to the
 * status record, which only the side that has claimed the upstream can, and
 * sends inside a window after that write, by its monotonic clock. A side
 * that was paused past the window writes again, and finds its claim gone.
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
  /** Absent for a plain service: it takes drains only. */
  engine: ModelEngine | undefined;
  gate: SideGate;
  log: Log;
  now: () => number;
  windowMs: number;
  /** Pause between two questions to the engine, ms. */
  pollMs: number;
}

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

/** Another side has claimed the upstream: this one gives no more orders. */
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

  /** Reads the control record and does what is open in it. */
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
      return log.warn("orders wait", { cause: errText(err) });
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

  /** The role that admission counts with is the engine's own. */
  private async readRole(): Promise<void> {
    const { engine, gate } = this.options;
    if (engine === undefined) return;
    const { role } = await engine.state();
    gate.setRole(ROLES.find((item) => item === role) ?? "mixed");
  }

  /** The upstream is claimed before the first order, after a wait. */
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
    if (version === undefined) throw new Error("claim lost a race; again");
    this.status = { value, version };
    if (before === undefined) return;
    // An older side may still be inside its window: wait it out.
    log.info("claimed from an older side", { waitMs: windowMs });
    await sleep(windowMs);
  }

  private applyDrain(desired: Desired | undefined): void {
    const { gate } = this.options;
    if (desired?.isDrained) gate.close("draining");
    else gate.open("draining");
  }

  /** An engine that restarted has lost its role: the order is done again. */
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
    // Loading more beside what is there takes nothing away from requests.
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

  /** Asks the engine first, so that an order never runs twice. */
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
    // Checked right before the send: a pause in between shows here.
    if (now() >= writtenAt + windowMs) return;
    const { id: orderId, action } = order;
    const sent = await engine.order({ orderId, fence, action });
    if (sent.kind !== "started") log.warn("engine order", { cause: sent.why });
  }

  /** What the engine itself says of an order. */
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

  /** Writes the status; a conflict means that another side has claimed. */
  private async write(
    order: Order,
    phase: UpstreamStatus["phase"],
    detail: string,
  ): Promise<number> {
    const { control, upstream, incarnation } = this.options;
    const value = { incarnation, seq: order.seq, phase, detail };
    const expected = this.status?.version ?? ABSENT;
    const version = await control.writeStatus(upstream, value, expected);
    if (version === undefined) throw new SupersededError();
    this.status = { value, version };
    return version;
  }
}
