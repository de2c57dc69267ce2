/** Keeps the gateway state of a process up to date with the store. */
import { FeedWatch, watchWaitMs } from "../store/index.js";
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

/** Watches the configuration and the replicas. */
export const watchStore = (
  supervisor: Supervisor,
  { source, feed, log, rng, now, leaseNow }: GatewayDependencies,
  state: GatewayState,
  /** Maximum time to catch up after the store is reachable again, ms. */
  catchUpMs: number,
  isActive: WatchConditions = ALWAYS,
): void => {
  const waitMs = watchWaitMs(catchUpMs);
  const common = { feed, log, rng, now, leaseNow, waitMs };
  const configWatch = new FeedWatch({
    ...common,
    kind: source.configKind,
    isActive: isActive.config,
    handlers: {
      onList: (items) => items.forEach((item) => state.onConfigItem(item)),
      onChange: ({ item, isRemoved }) => {
        if (!isRemoved) state.onConfigItem(item);
      },
      onAnswer: (answer) => state.onConfigProven(provenAt(answer)),
    },
  });
  const replicaWatch = new FeedWatch({
    ...common,
    kind: source.replicaKind,
    isActive: isActive.replicas,
    handlers: {
      onIdle: () => state.onReplicasStale(),
      onList: (items, inTrouble) => state.onReplicaList(items, inTrouble),
      onChange: (change, inTrouble) => state.onReplicaChange(change, inTrouble),
    },
  });
  configWatch.start(supervisor);
  replicaWatch.start(supervisor);
};
