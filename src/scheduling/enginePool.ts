/** The engines of one service as the scheduler sees them. Pure. */
import { EngineState } from "./engineState.js";
import type { EnginePermits } from "../rateLimits/index.js";
import type { PrefillTimeModel } from "./prefillTimeModel.js";
import type { TokenTimeModel } from "./tokenTimeModel.js";
import type { EngineView, PlacementRequest } from "./types.js";

/** An engine that denied its stage gets no work until the list says more, ms. */
const STAGE_MISMATCH_PAUSE_MS = 2500;

export class EnginePool {
  private readonly engines = new Map<string, EngineState>();
  /** The list that was set last. */
  private views: readonly EngineView[] | undefined;

  constructor(
    private readonly prefillModel: PrefillTimeModel,
    private readonly tokenModel: TokenTimeModel,
    private readonly permits: EnginePermits,
  ) {}

  /**
   * The engines that may get work; others keep what they run. The same list
   * again, not a copy, changes nothing.
   */
  set(views: readonly EngineView[]): void {
    if (views === this.views) return;
    this.views = views;
    const listed = new Set(views.map((view) => view.id));
    for (const id of this.engines.keys()) {
      if (!listed.has(id)) this.engines.delete(id);
    }
    for (const view of views) {
      const known = this.engines.get(view.id);
      if (known !== undefined) known.updateView(view);
      else
        this.engines.set(
          view.id,
          new EngineState(view, this.prefillModel, this.tokenModel),
        );
    }
  }

  get(id: string): EngineState | undefined {
    return this.engines.get(id);
  }

  all(): EngineState[] {
    return [...this.engines.values()];
  }

  /** Those that read prompts for others. */
  prefillEngines(now: number): EngineState[] {
    return this.all().filter(
      (item) => item.view.stage === "prefill" && item.suspendedUntil <= now,
    );
  }

  /** Closes an engine, which changes its stage, until an instant. */
  suspend(id: string, until: number): void {
    const engine = this.engines.get(id);
    if (engine !== undefined) engine.suspendedUntil = until;
  }

  /** The engine does not do what the list says. */
  suspendForStageMismatch(id: string, now: number): void {
    this.suspend(id, now + STAGE_MISMATCH_PAUSE_MS);
  }

  /** Those of `fit` that take one more request now. */
  availableFor(request: PlacementRequest, now: number): EngineState[] {
    return this.eligibleFor(request, now).filter(({ view }) =>
      this.permits.mayAcquire(view.id, now),
    );
  }

  /**
   * The engines that may get the request; those that are unavailable to its
   * process never do. Those that failed lately are left out, but for a stage
   * that would have none: a failure is better than none of them.
   */
  eligibleFor(
    { avoid, unavailable }: PlacementRequest,
    now: number,
  ): EngineState[] {
    const able = this.all().filter(({ view, suspendedUntil }) => {
      const isLeftOut =
        avoid.includes(view.id) || unavailable.includes(view.id);
      return suspendedUntil <= now && !isLeftOut;
    });
    const fit = able.filter((item) => !item.isBackingOff(now));
    const stages = new Set(fit.map((item) => item.view.stage));
    const lastResort = able.filter((item) => !stages.has(item.view.stage));
    return [...fit, ...lastResort];
  }

  /** Drops work that was never reported on; returns the number of runs. */
  expire(now: number): number {
    return this.all().reduce((sum, engine) => sum + engine.expire(now), 0);
  }
}
