/** Logs and counts the resumptions of streams by how their version was found. */
import type { PlacementAnswer, PlacementRequest } from "../scheduling/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import type { LocalPlacement } from "./localPlacement.js";

export interface ResumptionLogOptions {
  local: LocalPlacement;
  log: Log;
  metrics: Metrics;
}

export class ResumptionLog {
  constructor(private readonly options: ResumptionLogOptions) {}

  /** `request`: names a version if this process has relayed the stream. */
  record(request: PlacementRequest, answer: PlacementAnswer): void {
    const { id, service, stream, runnerVersion } = request;
    const { local, log, metrics } = this.options;
    const origin = answer.kind === "granted" ? answer.origin : undefined;
    const source = runnerVersion === undefined ? origin?.source : "own-record";
    const outcome = answer.kind === "granted" ? "granted" : answer.why;
    metrics.count("stream_resumed", { source: source ?? "none", outcome });
    log.info("stream resumed", {
      service,
      streamId: stream?.id,
      grant: id,
      source: source ?? "none",
      version: runnerVersion ?? origin?.version,
      engines: local.decodeEngines(service),
      outcome,
    });
  }
}
