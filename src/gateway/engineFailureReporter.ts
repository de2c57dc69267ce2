/** Tells the scheduler and the log what was found out of an engine. */
import type { Placement } from "../placement/index.js";
import type { Log } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { RequestProgress, RoundResult } from "./requestProgress.js";
import type { ReplicaSet } from "./replicaSet.js";

export interface EngineFailureReporterOptions {
  placement: Placement;
  replicas: ReplicaSet;
  log: Log;
  now: () => number;
}

export class EngineFailureReporter {
  constructor(private readonly options: EngineFailureReporterOptions) {}

  /** The engine says nothing at all: nobody else should wait for it. */
  onSilentRead(journey: RequestProgress, engine: string): RoundResult {
    const { caller, grantId } = journey;
    this.reportSilent(journey, engine);
    const why = "the engine says nothing";
    this.logSendFailure(caller, engine, "read", why);
    const ended = { kind: "read" as const, id: grantId, ok: false };
    this.options.placement.note(caller.service, ended);
    return { kind: "failed", verdict: "not-run", why, avoid: engine };
  }

  reportSilent({ caller, grantId }: RequestProgress, engine: string): void {
    const news = { kind: "silent" as const, id: grantId, engine };
    this.options.placement.note(caller.service, news);
  }

  /** The engine wants no work now: it is not at fault, and holds no part. */
  onRejected(
    journey: RequestProgress,
    engine: string,
    phase: string,
    why: string,
  ): RoundResult {
    const { caller, grantId } = journey;
    const news = { kind: "rejected" as const, id: grantId };
    this.options.placement.note(caller.service, news);
    this.logSendFailure(caller, engine, phase, why);
    return {
      kind: "failed",
      verdict: "not-run",
      why,
      avoid: engine,
      isNotEngineFault: true,
    };
  }

  /** The engine has changed its stage, or is gone: news, and no failure. */
  onWrongStage(journey: RequestProgress, engine: string): RoundResult {
    const { caller, grantId } = journey;
    const news = { kind: "wrong-stage" as const, id: grantId, engine };
    this.options.placement.note(caller.service, news);
    this.options.replicas.deny(engine, this.options.now());
    const why = "the engine does something else now";
    this.logSendFailure(caller, engine, "place", why);
    return {
      kind: "failed",
      verdict: "not-run",
      why,
      avoid: engine,
      isNotEngineFault: true,
    };
  }

  logSendFailure(
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
