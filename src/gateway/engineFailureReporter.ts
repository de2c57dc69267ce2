/** Reports failed sends and unusable engines to the scheduler and the log. */
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

  /** The engine does not respond: no other request should be placed on it. */
  onSilentPrefill(progress: RequestProgress, engine: string): RoundResult {
    const { caller, grantId } = progress;
    this.reportSilent(progress, engine);
    const why = "the engine says nothing";
    this.logSendFailure(caller, engine, "read", why);
    const ended = { kind: "read" as const, id: grantId, ok: false };
    this.options.placement.reportEvent(caller.service, ended);
    return { kind: "failed", verdict: "not-run", why, avoid: engine };
  }

  reportSilent({ caller, grantId }: RequestProgress, engine: string): void {
    const event = { kind: "silent" as const, id: grantId, engine };
    this.options.placement.reportEvent(caller.service, event);
  }

  /**
   * The engine accepts no work for now: this is not a fault, and it has cached
   * no part of the prompt.
   */
  onRejected(
    progress: RequestProgress,
    engine: string,
    phase: string,
    why: string,
  ): RoundResult {
    const { caller, grantId } = progress;
    const event = { kind: "rejected" as const, id: grantId };
    this.options.placement.reportEvent(caller.service, event);
    this.logSendFailure(caller, engine, phase, why);
    return {
      kind: "failed",
      verdict: "not-run",
      why,
      avoid: engine,
      isNotEngineFault: true,
    };
  }

  /**
   * The engine has changed stage or is gone. This is reported to the scheduler
   * but does not count as a fault.
   */
  onWrongStage(progress: RequestProgress, engine: string): RoundResult {
    const { caller, grantId } = progress;
    const event = { kind: "wrong-stage" as const, id: grantId, engine };
    this.options.placement.reportEvent(caller.service, event);
    this.options.replicas.markMisdirected(engine, this.options.now());
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
