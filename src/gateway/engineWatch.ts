/**
 * Probes an engine's state when its response to a request is overdue. A working
 * engine is left alone, however slow; one that does not respond, or that has no
 * requests, will never send the response.
 */
import { BoundedCancellation, Cancellation } from "../shared/cancellation.js";
import { errText } from "../shared/utils.js";
import { MAX_SHORT_RESPONSE_BYTES } from "./engineCalls.js";
import { isDifferentIncarnation } from "./replicaSet.js";
import type { EngineCallsOptions } from "./engineCalls.js";
import { readWholeBody } from "./upstreamReply.js";

/** Timeout of a probe, after which the engine counts as silent, ms. */
const PROBE_TIMEOUT_MS = 250;

/**
 * Result of a probe. `idle`: it has no requests or has restarted; `silent`: it
 * did not respond.
 */
export type EngineActivity = "working" | "idle" | "silent";

export class EngineWatch {
  constructor(private readonly options: EngineCallsOptions) {}

  /** Probes every `intervalMs` until cancelled or the engine is not working. */
  start(
    service: string,
    engine: string,
    intervalMs: number,
    onNotWorking: (activity: EngineActivity) => void,
  ): Cancellation {
    const stopped = new Cancellation();
    const probe = async (): Promise<void> => {
      const activity = await this.activityOf(service, engine);
      if (stopped.isCancelled) return;
      if (activity !== "working") return onNotWorking(activity);
      timer = setTimeout(onTimer, intervalMs);
    };
    const onTimer = (): void => {
      probe().catch((err) => {
        const fields = { engine, why: errText(err) };
        this.options.log.warn("engine probe failed", fields);
      });
    };
    let timer = setTimeout(onTimer, intervalMs);
    stopped.onCancel(() => clearTimeout(timer));
    return stopped;
  }

  private async activityOf(
    service: string,
    id: string,
  ): Promise<EngineActivity> {
    const { replicas, client, codec } = this.options;
    const replica = replicas.get(id);
    if (replica === undefined) return "idle";
    const cancellation = new BoundedCancellation(undefined, PROBE_TIMEOUT_MS);
    try {
      const call = codec.reportCall(replica);
      const purpose = "question";
      const sent = await client.send(replica, {
        ...call,
        purpose,
        cancellation,
      });
      if (sent.kind !== "answered") return "silent";
      const whole = await readWholeBody(sent.reply, MAX_SHORT_RESPONSE_BYTES);
      if (whole.kind === "cut") return "silent";
      const report = codec.readReport(whole.body.toString("utf8"));
      const { running, waiting } = report;
      // An engine that restarted has lost the requests of its previous run.
      if (isDifferentIncarnation(replica, report)) return "idle";
      return running + waiting > 0 ? "working" : "idle";
    } finally {
      cancellation.dispose();
    }
  }
}
