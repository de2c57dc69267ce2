/** Placement by this process's own schedulers, one a service. */
import { EngineScheduler } from "../scheduling/index.js";
import type {
  EngineView,
  Grant,
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
} from "../scheduling/index.js";
import type { Placement } from "./types.js";

export interface LocalPlacementOptions {
  /** The engines of a service that may get new work. */
  engines(service: string): readonly EngineView[];
  /** How many processes place on the same engines without talking. */
  share(service: string): number;
  now: () => number;
}

export class LocalPlacement implements Placement {
  private readonly schedulers = new Map<string, EngineScheduler>();

  constructor(private readonly options: LocalPlacementOptions) {}

  async place(ask: PlacementAsk): Promise<PlacementAnswer> {
    return this.placeNow(ask);
  }

  /** The same without waiting. */
  placeNow(ask: PlacementAsk): PlacementAnswer {
    const scheduler = this.scheduler(ask.service);
    scheduler.setEngines(this.options.engines(ask.service));
    return scheduler.place(ask, this.options.now());
  }

  /** Takes over a grant that another scheduler has given. */
  adopt(ask: PlacementAsk, grant: Grant): void {
    const scheduler = this.scheduler(ask.service);
    scheduler.setEngines(this.options.engines(ask.service));
    scheduler.adopt(ask, grant, this.options.now());
  }

  note(service: string, event: PlacementEvent): void {
    this.scheduler(service).onEvent(event, this.options.now());
  }

  scheduler(service: string): EngineScheduler {
    const known = this.schedulers.get(service);
    if (known !== undefined) return known;
    const fresh = new EngineScheduler(() => this.options.share(service));
    this.schedulers.set(service, fresh);
    return fresh;
  }

  /** Drops what was never reported on. */
  expire(): void {
    for (const scheduler of this.schedulers.values()) {
      scheduler.expire(this.options.now());
    }
  }
}
