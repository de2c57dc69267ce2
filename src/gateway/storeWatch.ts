/** Keeps what a process knows in step with the store. */
import { FeedWatch, watchWaitMs } from "../store/index.js";
import type { Supervisor } from "../tasks/index.js";
import type { GatewayParts } from "./parts.js";
import type { GatewayState } from "./gatewayState.js";

/** Follows the configuration and the replicas while `isActive`. */
export const watchStore = (
  supervisor: Supervisor,
  { source, feed, log, rng, now }: GatewayParts,
  state: GatewayState,
  /** Time after a cut within which the process must know the news, ms. */
  catchUpMs: number,
  isActive: () => boolean,
): void => {
  const waitMs = watchWaitMs(catchUpMs);
  const common = { feed, log, rng, now, waitMs, isActive };
  const configWatch = new FeedWatch({
    ...common,
    kind: source.configKind,
    handlers: {
      onList: (items) => items.forEach((item) => state.onConfigItem(item)),
      onChange: ({ item, isRemoved }) => {
        if (!isRemoved) state.onConfigItem(item);
      },
    },
  });
  const replicaWatch = new FeedWatch({
    ...common,
    kind: source.replicaKind,
    handlers: {
      onList: (items, inTrouble) => state.onReplicaList(items, inTrouble),
      onChange: (change, inTrouble) => state.onReplicaChange(change, inTrouble),
    },
  });
  configWatch.start(supervisor);
  replicaWatch.start(supervisor);
};
