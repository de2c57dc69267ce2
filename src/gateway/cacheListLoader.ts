/**
 * Loads the cache contents of a service's engines when this process takes the
 * service's lease. A new holder without them would spread prompts over engines
 * that then have to prefill all of the shared parts again.
 */
import type { LocalPlacement } from "../placement/index.js";
import { BoundedCancellation } from "../shared/cancellation.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import type { ReplicaClient } from "./replicaClient.js";
import type { ReplicaSet } from "./replicaSet.js";
import type { RequestCodec } from "./requestCodec.js";
import type { Replica } from "./types.js";
import { readWholeBody } from "./upstreamReply.js";

/** Timeout after which an engine is left out, ms. */
const LIST_TIMEOUT_MS = 1000;
/** Room for about ten thousand prompt parts of 50 bytes each. */
const MAX_LIST_BYTES = 512 * 1024;
const HTTP_OK = 200;

export interface CacheListLoaderOptions {
  replicas: ReplicaSet;
  client: ReplicaClient;
  codec: RequestCodec;
  local: LocalPlacement;
  log: Log;
  now: () => number;
}

export class CacheListLoader {
  /** Lease epoch for which the lists were last loaded, by service. */
  private readonly loadedEpochs = new Map<string, number>();

  constructor(private readonly options: CacheListLoaderOptions) {}

  /** Queries all engines in parallel, once per acquisition of the lease. */
  async step(service: string, epoch: number): Promise<void> {
    if (this.loadedEpochs.get(service) === epoch) return;
    this.loadedEpochs.set(service, epoch);
    const { replicas, log, now } = this.options;
    const begun = now();
    const engines = replicas.usable(service, begun);
    const counts = await Promise.all(
      engines.map((engine) => this.loadList(engine)),
    );
    const parts = counts.reduce((sum, count) => sum + count, 0);
    const tookMs = Math.round(now() - begun);
    const fields = { service, epoch, engines: engines.length, parts, tookMs };
    log.info("caches asked", fields);
  }

  /** Loads one engine's list; returns the number of parts, 0 on failure. */
  private async loadList(engine: Replica): Promise<number> {
    const { client, codec, local, log } = this.options;
    const { id, service } = engine;
    const cancellation = new BoundedCancellation(undefined, LIST_TIMEOUT_MS);
    try {
      const call = codec.cacheListCall(engine);
      const purpose = "question";
      const request = { ...call, purpose, cancellation } as const;
      const sent = await client.send(engine, request);
      if (sent.kind !== "answered") return 0;
      const whole = await readWholeBody(sent.reply, MAX_LIST_BYTES);
      if (whole.kind === "cut" || sent.head.status !== HTTP_OK) return 0;
      const parts = codec.readCacheList(whole.body.toString("utf8"));
      local.recordCachedParts(service, id, parts);
      return parts.length;
    } catch (err) {
      log.warn("engine cache list failed", { replica: id, why: errText(err) });
      return 0;
    } finally {
      cancellation.dispose();
    }
  }
}
