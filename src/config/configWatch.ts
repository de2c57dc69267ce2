/**
 * Task that keeps the configuration in sync with the object API. Only a few
 * processes per failure domain watch it; the others receive changes by gossip.
 */
import type { ObjectStore } from "../store/index.js";
import { errText } from "../shared/utils.js";
import type { Rng } from "../shared/rng.js";
import type { Log } from "../telemetry/index.js";
import { CONFIG_KIND } from "./configKeeper.js";
import type { ConfigKeeper } from "./configKeeper.js";

const WATCH_TIMEOUT_MS = 10_000;
const BASE_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5000;
const IDLE_POLL_MS = 1000;

export interface ConfigWatchOptions {
  store: ObjectStore;
  keeper: ConfigKeeper;
  /** Whether this process currently watches for its failure domain. */
  isWatcher: () => boolean;
  log: Log;
  rng: Rng;
}

/** Watch loop, driven by `step` and `pauseMs`. */
export class ConfigWatch {
  private revision = 0;
  private needsRead = true;
  private failures = 0;

  constructor(private readonly options: ConfigWatchOptions) {}

  /** Pause before the next step, ms. */
  get pauseMs(): number {
    if (this.failures > 0) {
      const backoffMs = Math.min(
        MAX_BACKOFF_MS,
        BASE_BACKOFF_MS * 2 ** this.failures,
      );
      return backoffMs * (0.5 + this.options.rng() / 2);
    }
    return this.options.isWatcher() ? 0 : IDLE_POLL_MS;
  }

  async step(): Promise<void> {
    if (!this.options.isWatcher()) return;
    try {
      await this.watchOnce();
      this.failures = 0;
    } catch (err) {
      if (this.failures === 0) {
        this.options.log.warn("object API watch failed", {
          cause: errText(err),
        });
      }
      this.failures += 1;
      this.needsRead = true;
    }
  }

  private async watchOnce(): Promise<void> {
    const { store, keeper } = this.options;
    if (this.needsRead) {
      await keeper.refresh();
      this.needsRead = false;
    }
    const reply = await store.watch(
      [CONFIG_KIND],
      this.revision,
      WATCH_TIMEOUT_MS,
    );
    this.revision = reply.revision;
    if (reply.events.length > 0) await keeper.refresh();
  }
}
