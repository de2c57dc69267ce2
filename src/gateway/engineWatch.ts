/**
 * Asks an engine for its state when its answer to a request is overdue. An
 * engine that works is left alone, however slow; one that says nothing, or
 * has nothing to do, will not answer.
 */
import { BoundedCancellation, Cancellation } from "../shared/cancellation.js";
import { errText } from "../shared/utils.js";
import { MAX_SHORT_ANSWER_BYTES } from "./engineCalls.js";
import { isDifferentIncarnation } from "./replicaSet.js";
import type { EngineCallsOptions } from "./engineCalls.js";
import { readWholeBody } from "./upstreamClient.js";

/** An engine that does not say what it does by then is silent, ms. */
const REPORT_MS = 250;

/** What an engine turned out to do. */
export type EngineMood = "working" | "idle" | "silent";

export class EngineWatch {
  constructor(private readonly options: EngineCallsOptions) {}

  /** Looks each `pauseMs` until cancelled, or until it does not work. */
  start(
    service: string,
    engine: string,
    pauseMs: number,
    onNotWorking: (mood: EngineMood) => void,
  ): Cancellation {
    const over = new Cancellation();
    const look = async (): Promise<void> => {
      const mood = await this.moodOf(service, engine);
      if (over.isCancelled) return;
      if (mood !== "working") return onNotWorking(mood);
      timer = setTimeout(onTime, pauseMs);
    };
    const onTime = (): void => {
      look().catch((err) => {
        const fields = { engine, why: errText(err) };
        this.options.log.warn("engine not looked at", fields);
      });
    };
    let timer = setTimeout(onTime, pauseMs);
    over.onCancel(() => clearTimeout(timer));
    return over;
  }

  private async moodOf(service: string, id: string): Promise<EngineMood> {
    const { replicas, client, codec } = this.options;
    const replica = replicas.get(id);
    if (replica === undefined) return "idle";
    const cancellation = new BoundedCancellation(undefined, REPORT_MS);
    try {
      const call = codec.reportCall(replica);
      const purpose = "question";
      const sent = await client.send(replica, {
        ...call,
        purpose,
        cancellation,
      });
      if (sent.kind === "failed") return "silent";
      const whole = await readWholeBody(sent, MAX_SHORT_ANSWER_BYTES);
      if (whole.kind === "cut") return "silent";
      const report = codec.readReport(whole.body.toString("utf8"));
      const { running, waiting } = report;
      // What started again has lost what the one before worked on.
      if (isDifferentIncarnation(replica, report)) return "idle";
      return running + waiting > 0 ? "working" : "idle";
    } finally {
      cancellation.dispose();
    }
  }
}
