/**
 * Seeks proof that the configuration is the newest where the store gives
 * none: the holder of a lease is asked, which reaches the store. Without it
 * a process that the store turns away, or whose link to it is cut, would
 * refuse all keyed requests though a way to the store exists.
 */
import type { SharedPlacement } from "../placement/index.js";
import type { Supervisor } from "../tasks/index.js";
import { oldestProofMs } from "../workspaces/index.js";
import type { KeyBounds } from "../workspaces/index.js";
import type { GatewayState } from "./gatewayState.js";

/**
 * Part of the age at which keyed requests are refused after which the holder
 * is asked: it leaves time for four questions, and the process's own watch
 * has failed by then.
 */
const ASK_PART = 0.7;
/** Pause between two questions, ms. */
const ASK_MS = 300;

export class KeyProof {
  private readonly askAfterMs: number;

  constructor(
    private readonly state: GatewayState,
    private readonly placement: SharedPlacement,
    bounds: KeyBounds,
  ) {
    this.askAfterMs = oldestProofMs(bounds) * ASK_PART;
  }

  start(supervisor: Supervisor): void {
    if (!Number.isFinite(this.askAfterMs)) return;
    supervisor.every("proof of keys", ASK_MS, async () => this.step());
  }

  private step(): void {
    const { state, placement } = this;
    const hasKeys = state.routes?.keyring !== undefined;
    if (!hasKeys || state.proofAgeMs < this.askAfterMs) return;
    placement.requestConfig(state.configRevision);
  }
}
