/** What an entry needs to bar requests that end the replicas that run them. */
import type { GatewayDependencies } from "./gatewayDependencies.js";
import type { GatewayState } from "./gatewayState.js";
import { QuarantineKeeper } from "./quarantineKeeper.js";
import { ReplicaEnds } from "./replicaEnds.js";
import type { UpstreamClient } from "./upstreamClient.js";

export interface QuarantineRole {
  ends: ReplicaEnds;
  quarantine: QuarantineKeeper;
}

/** `self`: name of this process. */
export const createQuarantineRole = (
  self: string,
  parts: GatewayDependencies,
  state: GatewayState,
  client: UpstreamClient,
): QuarantineRole => {
  const { source, feed, log, metrics, now, wallNow } = parts;
  const { replicas } = state;
  const ends = new ReplicaEnds({ replicas, client, log, metrics, now });
  const store = { self, state, source, feed };
  const quarantine = new QuarantineKeeper({
    ...store,
    log,
    metrics,
    now,
    wallNow,
  });
  state.onGone = (replica) => ends.onGone(replica);
  state.onStatus = (status) => quarantine.onStatus(status);
  ends.onEnd = (end) => quarantine.onEnd(end);
  ends.onSurvived = (caller) => quarantine.onSurvived(caller);
  return { ends, quarantine };
};
