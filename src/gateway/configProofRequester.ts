/**
 * Asks the holder of a lease, which reaches the store, for a newer configuration
 * and for proof that there is none, when the store gives this process neither.
 * Otherwise a process that the store rejects, or that has lost its connection to
 * it, would act by an older configuration and refuse all keyed requests. Where
 * there are keys, the holder is also asked while the own watch waits long and
 * proves nothing.
 */
import type { SharedPlacement } from "../placement/index.js";
import type { Supervisor } from "../tasks/index.js";
import { maxProofAgeMs } from "../workspaces/index.js";
import type { KeyBounds } from "../workspaces/index.js";
import type { GatewayState } from "./gatewayState.js";

/**
 * The holder is asked at this fraction of the age at which keyed requests are
 * refused. That leaves time for four attempts, and by then the process's own
 * store watch has failed.
 */
const REQUEST_AGE_FRACTION = 0.7;
/** Interval between attempts, ms. */
const REQUEST_INTERVAL_MS = 300;

/** What the process's own watch of the configuration says about itself. */
export interface ConfigWatchState {
  /** Age from which a proof is due although the watch works, ms. */
  readonly proofDueAfterMs: number;
  /** Whether the last call of the watch has failed. */
  readonly isConfigLost: boolean;
}

export class ConfigProofRequester {
  private readonly requestAfterMs: number;

  constructor(
    private readonly state: GatewayState,
    private readonly placement: SharedPlacement,
    bounds: KeyBounds,
    private readonly watch: ConfigWatchState,
  ) {
    this.requestAfterMs = maxProofAgeMs(bounds) * REQUEST_AGE_FRACTION;
  }

  start(supervisor: Supervisor): void {
    supervisor.every("configuration proof", REQUEST_INTERVAL_MS, async () =>
      this.step(),
    );
  }

  private step(): void {
    const { state, placement, watch } = this;
    if (!watch.isConfigLost && !this.isProofDue) return;
    placement.requestConfig(state.configRevision);
  }

  private get isProofDue(): boolean {
    const { state, watch } = this;
    const hasKeys = state.routes?.keyring !== undefined;
    const limitMs = Math.min(this.requestAfterMs, watch.proofDueAfterMs);
    return hasKeys && Number.isFinite(limitMs) && state.proofAgeMs >= limitMs;
  }
}
