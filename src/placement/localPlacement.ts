/** Placement by this process's own schedulers, one a service. */
import { EngineScheduler } from "../scheduling/index.js";
import type {
  EngineView,
  Grant,
  HeldPart,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
  Queued,
} from "../scheduling/index.js";
import type { EnginePermits } from "../rateLimits/index.js";
import type { Log } from "../telemetry/index.js";
import type { Placement } from "./types.js";

export interface LocalPlacementOptions {
  /** The engines of a service that may get new work. */
  engines(service: string): readonly EngineView[];
  /** How many processes place on the same engines without talking. */
  sharingProcesses(service: string): number;
  permits: EnginePermits;
  log: Log;
  now: () => number;
}

/** Gets the answer of a request that was queued. */
type AnswerCallback = (answer: PlacementAnswer) => void;

/**
 * While requests wait, engines that come free are looked for each, ms. Work
 * is given out far enough ahead that engines don't stand idle meanwhile;
 * looked for at each report on a request, they would cost the holder most of
 * its processor time in a rush.
 */
const SETTLE_MS = 5;

export class LocalPlacement implements Placement {
  private readonly schedulers = new Map<string, EngineScheduler>();
  /** By id of the request that waits. */
  private readonly queued = new Map<string, AnswerCallback>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LocalPlacementOptions) {}

  place(ask: PlacementAsk): Promise<PlacementAnswer> {
    return new Promise((resolve) => {
      const answer = this.placeNow(ask, resolve);
      if (answer.kind !== "queued") resolve(answer);
    });
  }

  /** The same without waiting; `onAnswer` is called where it is queued. */
  placeNow(
    ask: PlacementAsk,
    onAnswer: AnswerCallback,
  ): PlacementAnswer | Queued {
    const scheduler = this.refresh(ask.service);
    const answer = scheduler.place(ask, this.options.now());
    if (answer.kind === "queued") {
      this.queued.set(ask.id, onAnswer);
      this.timer ??= setTimeout(() => this.onTime(), SETTLE_MS);
    }
    return answer;
  }

  /**
   * Takes over a grant that another scheduler has given; `isRead`: an engine
   * has read its prompt.
   */
  adopt(ask: PlacementAsk, grant: Grant, isRead = false): void {
    const scheduler = this.refresh(ask.service);
    scheduler.adopt(ask, grant, isRead, this.options.now());
  }

  /** An engine says that it holds these parts. */
  recordCachedParts(
    service: string,
    engine: string,
    held: readonly HeldPart[],
  ): void {
    this.refresh(service).learnCache(engine, held);
  }

  reportEvent(service: string, event: PlacementEvent): void {
    const scheduler = this.scheduler(service);
    scheduler.onEvent(event, this.options.now());
    if (event.kind === "ended") this.queued.delete(event.id);
  }

  /** The request is given up; what waits for it hears nothing more. */
  cancel(service: string, id: string): void {
    this.reportEvent(service, { kind: "ended", id, ok: true, firstEventMs: 0 });
  }

  /** The service's scheduler, with the engines that there are now. */
  refresh(service: string): EngineScheduler {
    const scheduler = this.scheduler(service);
    scheduler.setEngines(this.options.engines(service));
    return scheduler;
  }

  scheduler(service: string): EngineScheduler {
    const known = this.schedulers.get(service);
    if (known !== undefined) return known;
    const share = () => this.options.sharingProcesses(service);
    const fresh = new EngineScheduler(share, this.options.permits);
    this.schedulers.set(service, fresh);
    return fresh;
  }

  /** Drops what was never reported on. */
  expire(): void {
    const { log, now } = this.options;
    for (const [service, scheduler] of this.schedulers) {
      const runs = scheduler.expire(now());
      if (runs > 0)
        log.warn("runs dropped, end never reported", { service, runs });
    }
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private onTime(): void {
    this.timer = undefined;
    for (const service of this.schedulers.keys()) {
      this.settle(this.refresh(service));
    }
    if (this.queued.size === 0) return;
    this.timer = setTimeout(() => this.onTime(), SETTLE_MS);
  }

  private settle(scheduler: EngineScheduler): void {
    for (const { id, answer } of scheduler.settle(this.options.now())) {
      const onAnswer = this.queued.get(id);
      this.queued.delete(id);
      onAnswer?.(answer);
    }
  }
}
