/** Wires up the parts that quarantine requests which crash their replicas. */
import type { GatewayDependencies } from "./gatewayDependencies.js";
import type { GatewayState } from "./gatewayState.js";
import { QuarantineManager } from "./quarantineManager.js";
import { ReplicaEndDetector } from "./replicaEndDetector.js";
import type { UpstreamClient } from "./upstreamClient.js";

export interface QuarantineRole {
  ends: ReplicaEndDetector;
  quarantine: QuarantineManager;
}

/** Creates and connects the parts; `self`: name of this process. */
export const createQuarantineRole = (
  self: string,
  parts: GatewayDependencies,
  state: GatewayState,
  client: UpstreamClient,
): QuarantineRole => {
  const { source, feed, log, metrics, now, wallNow } = parts;
  const { replicas } = state;
  const ends = new ReplicaEndDetector({ replicas, client, log, metrics, now });
  const store = { self, state, source, feed };
  const quarantine = new QuarantineManager({
    ...store,
    log,
    metrics,
    now,
    wallNow,
  });
  state.onGone = (replica) => ends.onReplicaRemoved(replica);
  state.onStatus = (status) => quarantine.onStatus(status);
  ends.onEnd = (end) => quarantine.onEnd(end);
  ends.onCompleted = (caller, isGood) => quarantine.onCompleted(caller, isGood);
  ends.onSurvived = (caller, isGood) => quarantine.onSurvived(caller, isGood);
  quarantine.survivalKnown = (caller) => ends.survivalKnown(caller);
  return { ends, quarantine };
};
