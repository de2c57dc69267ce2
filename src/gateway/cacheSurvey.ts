/**
 * Asks the engines of a service what their caches hold when this process
 * becomes its holder. A new holder that knows nothing spreads prompts over
 * engines that have to read all of their shared parts again.
 */
import type { LocalPlacement } from "../placement/index.js";
import { BoundedCancellation } from "../shared/cancellation.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import type { ReplicaClient } from "./replicaClient.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { RequestForm } from "./requestForm.js";
import type { Replica } from "./types.js";
import { readWholeBody } from "./upstreamClient.js";

/** An engine that has not answered by then is left out, ms. */
const LIST_MS = 1000;
/** Some ten thousand parts of a prompt, at 50 bytes each. */
const MAX_LIST_BYTES = 512 * 1024;

export interface CacheSurveyOptions {
  replicas: ReplicaSet;
  client: ReplicaClient;
  form: RequestForm;
  local: LocalPlacement;
  log: Log;
  now: () => number;
}

export class CacheSurvey {
  /** Epochs of the leases for which engines were asked, by service. */
  private readonly asked = new Map<string, number>();

  constructor(private readonly options: CacheSurveyOptions) {}

  /** Asks all engines at once, once for each time that the lease is taken. */
  async step(service: string, epoch: number): Promise<void> {
    if (this.asked.get(service) === epoch) return;
    this.asked.set(service, epoch);
    const { replicas, log, now } = this.options;
    const begun = now();
    const engines = replicas.usable(service, begun);
    const counts = await Promise.all(
      engines.map((engine) => this.learn(engine)),
    );
    const parts = counts.reduce((sum, count) => sum + count, 0);
    const tookMs = Math.round(now() - begun);
    const fields = { service, epoch, engines: engines.length, parts, tookMs };
    log.info("caches asked", fields);
  }

  /** How many parts the engine told of. */
  private async learn(engine: Replica): Promise<number> {
    const { client, form, local, log } = this.options;
    const { id, service } = engine;
    const cancellation = new BoundedCancellation(undefined, LIST_MS);
    try {
      const call = form.cacheListCall(engine);
      const purpose = "question";
      const order = { ...call, purpose, cancellation } as const;
      const sent = await client.send(engine, order);
      if (sent.kind === "failed") return 0;
      const whole = await readWholeBody(sent, MAX_LIST_BYTES);
      if (whole.kind === "cut" || sent.res.statusCode !== 200) return 0;
      const held = form.readCacheList(whole.body.toString("utf8"));
      local.recordCachedParts(service, id, held);
      return held.length;
    } catch (err) {
      log.warn("cache not learnt", { replica: id, why: errText(err) });
      return 0;
    } finally {
      cancellation.dispose();
    }
  }
}
