/** Scheduling state of the engines of one service. Pure. */
import { EngineState } from "./engineState.js";
import type { EnginePermits } from "../rateLimits/index.js";
import type { PrefillTimeModel } from "./prefillTimeModel.js";
import type { TokenTimeModel } from "./tokenTimeModel.js";
import type { EngineView, PlacementRequest } from "./types.js";

/**
 * How long an engine that does not serve its listed stage gets no work, ms; an
 * updated list with another stage ends this sooner.
 */
const STAGE_MISMATCH_PAUSE_MS = 2500;

/** Whether an engine's events fit those that the caller has already. */
const mayGoOn = (
  { runnerVersion }: PlacementRequest,
  { stage, softwareVersion }: EngineView,
): boolean =>
  runnerVersion === undefined ||
  stage !== "decode" ||
  softwareVersion === runnerVersion;

export class EnginePool {
  private readonly engines = new Map<string, EngineState>();
  /** The list from the last call of `set`. */
  private views: readonly EngineView[] | undefined;
  /** Mean number of slots of an engine. */
  slots = 1;

  constructor(
    private readonly prefillModel: PrefillTimeModel,
    private readonly tokenModel: TokenTimeModel,
    private readonly permits: EnginePermits,
  ) {}

  /**
   * Sets the engines that may be assigned work; removed engines keep their
   * current runs. Does nothing if passed the same array object again.
   */
  set(views: readonly EngineView[]): void {
    if (views === this.views) return;
    this.views = views;
    const slots = views.reduce((sum, view) => sum + view.slots, 0);
    this.slots = Math.max(1, slots / Math.max(1, views.length));
    const listed = new Set(views.map((view) => view.id));
    for (const id of this.engines.keys()) {
      if (!listed.has(id)) this.engines.delete(id);
    }
    for (const view of views) {
      const engine = this.engines.get(view.id);
      if (engine !== undefined) engine.updateView(view);
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

  hasVersion(version: string | undefined): boolean {
    return this.all().some(({ view }) => view.softwareVersion === version);
  }

  /** Prefill engines that are not suspended. */
  prefillEngines(now: number): EngineState[] {
    return this.all().filter(
      (item) => item.view.stage === "prefill" && item.suspendedUntil <= now,
    );
  }

  /**
   * Assigns no work to an engine until the given time, e.g. during a stage
   * change.
   */
  suspend(id: string, until: number): void {
    const engine = this.engines.get(id);
    if (engine !== undefined) engine.suspendedUntil = until;
  }

  /** Suspends an engine that does not serve the stage the list gives. */
  suspendForStageMismatch(id: string, now: number): void {
    this.suspend(id, now + STAGE_MISMATCH_PAUSE_MS);
  }

  /** Eligible engines with a rate-limit permit for one more request now. */
  availableFor(request: PlacementRequest, now: number): EngineState[] {
    return this.eligibleFor(request, now).filter(({ view }) =>
      this.permits.mayAcquire(view.id, now),
    );
  }

  /**
   * Engines that may be assigned the request, rate limits aside. Engines in
   * `avoid` and `unavailable` are always excluded, and so are decode engines of
   * another version than the one that began the stream. Engines that back off after
   * failures are excluded unless their stage would have no engine otherwise.
   */
  eligibleFor(request: PlacementRequest, now: number): EngineState[] {
    const { avoid, unavailable } = request;
    const candidates = this.all().filter(({ view, suspendedUntil }) => {
      const isExcluded =
        avoid.includes(view.id) || unavailable.includes(view.id);
      const isUsable = suspendedUntil <= now && !isExcluded;
      return isUsable && mayGoOn(request, view);
    });
    const healthy = candidates.filter((item) => !item.isBackingOff(now));
    const stages = new Set(healthy.map((item) => item.view.stage));
    const lastResort = candidates.filter(
      (item) => !stages.has(item.view.stage),
    );
    return [...healthy, ...lastResort];
  }

  /**
   * Drops work whose end was never reported; returns the number of runs
   * dropped.
   */
  expire(now: number): number {
    return this.all().reduce((sum, engine) => sum + engine.expire(now), 0);
  }
}
