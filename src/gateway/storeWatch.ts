/** Keeps the gateway state of a process up to date with the store. */
import {
  FeedWatch,
  HolderVouches,
  maxChangePauseMs,
  StoreRecovery,
  watchWaitMs,
} from "../store/index.js";
import type { ChangeBounds, SeenRevision } from "../store/index.js";
import type { Supervisor } from "../tasks/index.js";
import { provenAt } from "../workspaces/index.js";
import type { GatewayDependencies } from "./gatewayDependencies.js";
import type { GatewayState } from "./gatewayState.js";

/** A kind is not watched while false; its list is read again afterwards. */
export interface WatchConditions {
  config: () => boolean;
  replicas: () => boolean;
}

const ALWAYS: WatchConditions = { config: () => true, replicas: () => true };

/**
 * How much older than a watch's own wait the holder's proof of the
 * configuration may be before this process ends its long wait, ms. The holder
 * is asked each 300 ms, and a proof of its own takes 600 ms; keys are refused
 * 1.5 s after the wait on the platform's sites.
 */
const PROOF_GRACE_MS = 500;

/** Watches the configuration and the replicas. */
export class StoreWatches {
  /** Store positions that lease holders have reported. */
  readonly vouches = new HolderVouches();
  /** Whether this process vouches as a lease holder. */
  isVouching: () => boolean = () => false;
  /** Wait of a call without a vouch, ms. */
  readonly waitMs: number;
  private readonly config: FeedWatch;
  private readonly replicas: FeedWatch;

  constructor(
    { source, feed, log, rng, now, leaseNow }: GatewayDependencies,
    state: GatewayState,
    /** Maximum time to catch up after the store is reachable again, ms. */
    catchUpMs: number,
    isActive: WatchConditions = ALWAYS,
    /** Absent: the pause after changes does not grow. */
    bounds?: ChangeBounds,
  ) {
    this.waitMs = watchWaitMs(catchUpMs);
    const { waitMs, vouches } = this;
    const recovery = new StoreRecovery();
    const pauses = bounds && { maxChangePauseMs: maxChangePauseMs(bounds) };
    const common = {
      feed,
      log,
      rng,
      now,
      leaseNow,
      waitMs,
      vouches,
      isVouching: () => this.isVouching(),
      recovery,
      ...pauses,
    };
    this.config = new FeedWatch({
      ...common,
      kind: source.configKind,
      isProofOld: () =>
        state.routes?.keyring !== undefined &&
        state.proofAgeMs > waitMs + PROOF_GRACE_MS,
      isActive: isActive.config,
      handlers: {
        onList: (items) =>
          items.forEach((item) => state.onConfigItem(item, "list")),
        onChange: ({ item, isRemoved }) => {
          if (!isRemoved) state.onConfigItem(item, "change");
        },
        onAnswer: (answer) => state.onConfigProven(provenAt(answer)),
      },
    });
    this.replicas = new FeedWatch({
      ...common,
      kind: source.replicaKind,
      isActive: isActive.replicas,
      handlers: {
        onIdle: () => state.onReplicasStale(),
        onList: (items, stability) => state.onReplicaList(items, stability),
        onChange: (change, stability) =>
          state.onReplicaChange(change, stability),
        onAnswer: (answer) => state.replicaList.onAnswer(answer),
      },
    });
  }

  start(supervisor: Supervisor): void {
    this.config.start(supervisor);
    this.replicas.start(supervisor);
  }

  /** The last change of each kind that this process has seen. */
  seen(): SeenRevision[] {
    const all = [this.config.seen, this.replicas.seen];
    return all.filter((item) => item !== undefined);
  }

  /** Store position of the list of replicas; undefined: none is known. */
  get replicasPosition(): number | undefined {
    return this.replicas.position;
  }

  /** Whether the last call of the configuration's watch has failed. */
  get isConfigLost(): boolean {
    return this.config.isLost;
  }

  /**
   * Age of the configuration's proof from which the holder is asked for one
   * although this process's own watch works, ms: its long wait proves nothing
   * meanwhile. Infinity while the wait is not long.
   */
  get proofDueAfterMs(): number {
    return this.config.waitsLong ? this.waitMs : Infinity;
  }
}
