/** Tells the scheduler and the log what was found out of an engine. */
import type { Placement } from "../placement/index.js";
import type { Log } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { Journey, Round } from "./journey.js";
import type { ReplicaSet } from "./replicaSet.js";

export interface EngineNewsOptions {
  placement: Placement;
  replicas: ReplicaSet;
  log: Log;
  now: () => number;
}

export class EngineNews {
  constructor(private readonly options: EngineNewsOptions) {}

  /** The engine says nothing at all: nobody else should wait for it. */
  silentRead(journey: Journey, engine: string): Round {
    const { caller, grantId } = journey;
    this.noteSilent(journey, engine);
    const why = "the engine says nothing";
    this.logFault(caller, engine, "read", why);
    const ended = { kind: "read" as const, id: grantId, ok: false };
    this.options.placement.reportEvent(caller.service, ended);
    return { kind: "failed", verdict: "not-run", why, avoid: engine };
  }

  noteSilent({ caller, grantId }: Journey, engine: string): void {
    const news = { kind: "silent" as const, id: grantId, engine };
    this.options.placement.reportEvent(caller.service, news);
  }

  /** The engine wants no work now: it is not at fault, and holds no part. */
  rejected(
    journey: Journey,
    engine: string,
    phase: string,
    why: string,
  ): Round {
    const { caller, grantId } = journey;
    const news = { kind: "rejected" as const, id: grantId };
    this.options.placement.reportEvent(caller.service, news);
    this.logFault(caller, engine, phase, why);
    return {
      kind: "failed",
      verdict: "not-run",
      why,
      avoid: engine,
      isBlameless: true,
    };
  }

  /** The engine has changed its stage, or is gone: news, and no failure. */
  wrongStage(journey: Journey, engine: string): Round {
    const { caller, grantId } = journey;
    const news = { kind: "wrong-stage" as const, id: grantId, engine };
    this.options.placement.reportEvent(caller.service, news);
    this.options.replicas.deny(engine, this.options.now());
    const why = "the engine does something else now";
    this.logFault(caller, engine, "place", why);
    return {
      kind: "failed",
      verdict: "not-run",
      why,
      avoid: engine,
      isBlameless: true,
    };
  }

  logFault(
    caller: CallerRequest,
    replica: string,
    phase: string,
    why: string,
  ): void {
    if (caller.isCallerGone) return;
    this.options.log.info("send failed", {
      requestId: caller.head.id,
      replica,
      phase,
      why,
      elapsedMs: Math.round(caller.elapsedMs()),
    });
  }
}
