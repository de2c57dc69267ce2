/**
 * Components shared by every role of the daemon: store, configuration,
 * membership, gossip, and the tasks that run them.
 */
import csp from "js-csp";

import { ConfigKeeper, ConfigWatch } from "../config/index.js";
import { Membership, RankingCache } from "../membership/index.js";
import type { MemberKind } from "../membership/index.js";
import { Gossip, PeerLink } from "../peers/index.js";
import { seededRng } from "../shared/rng.js";
import type { Rng } from "../shared/rng.js";
import type { Settings } from "../settings/index.js";
import { BudgetedStore, HttpObjectStore } from "../store/index.js";
import { settle, Supervisor } from "../tasks/index.js";
import { createLog, LineWriter, StatsdMetrics } from "../telemetry/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { splitAddress } from "../http/index.js";
import { monotonicNow } from "./clock.js";

const WATCHERS_PER_DOMAIN = 2;
const STDOUT = 1;

/** Shared components of one process. */
export interface Runtime {
  settings: Settings;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
  store: BudgetedStore;
  keeper: ConfigKeeper;
  link: PeerLink;
  supervisor: Supervisor;
}

export const createRuntime = (settings: Settings): Runtime => {
  const log = createLog({
    level: settings.logLevel,
    process: settings.id,
    writer: new LineWriter(STDOUT),
    now: monotonicNow,
  });
  const statsd =
    settings.statsd === undefined ? undefined : splitAddress(settings.statsd);
  const { url, timeoutMs, callsPerSecond } = settings.objectApi;
  const http = new HttpObjectStore(url, timeoutMs);
  const store = new BudgetedStore(http, callsPerSecond, monotonicNow);
  return {
    settings,
    log,
    metrics: new StatsdMetrics(statsd),
    rng: seededRng((Date.now() ^ (process.pid << 12)) | 0),
    now: monotonicNow,
    store,
    keeper: new ConfigKeeper(store),
    link: new PeerLink(settings.peers.secret),
    supervisor: new Supervisor(log),
  };
};

export const createMembership = (
  runtime: Runtime,
  id: string,
  kind: MemberKind,
  peerAddress: string,
): Membership =>
  new Membership({
    id,
    kind,
    state: "alive",
    incarnation: Date.now(),
    peerAddress,
    domain: runtime.settings.domain,
    role: "",
  });

export const createGossip = (
  runtime: Runtime,
  membership: Membership,
): Gossip => {
  const { settings, keeper, link, log, rng, now } = runtime;
  const { seeds, fanout } = settings.peers;
  return new Gossip({
    membership,
    keeper,
    link,
    log,
    rng,
    now,
    fanout,
    seeds,
  });
};

/** Ranking of the members that may watch the store for this domain. */
const watchCandidates = (membership: Membership): RankingCache => {
  const { domain } = membership.self;
  return new RankingCache(
    membership,
    (item) => item.domain === domain && item.state === "alive",
  );
};

/** Starts the tasks that keep membership and configuration up to date. */
export const startCommonTasks = (
  runtime: Runtime,
  membership: Membership,
  gossip: Gossip,
): void => {
  const { supervisor, settings, store, keeper, log, rng } = runtime;
  supervisor.every("gossip", settings.peers.periodMs, () => gossip.round());
  const domain = watchCandidates(membership);
  const watch = new ConfigWatch({
    store,
    keeper,
    isWatcher: () => domain.isSelfRanked("watch", WATCHERS_PER_DOMAIN),
    log,
    rng,
  });
  supervisor.start("config-watch", function* () {
    while (!supervisor.isStopped) {
      yield csp.take(settle(watch.step()));
      yield supervisor.pause(watch.pauseMs);
    }
  });
};

/**
 * Loads the newest configuration known to the peers or the store, before the
 * process starts serving.
 */
export const loadInitialConfig = async (
  runtime: Runtime,
  gossip: Gossip,
): Promise<void> => {
  const { keeper, log } = runtime;
  const refresh = async () => {
    try {
      await keeper.refresh();
    } catch {
      log.warn("object API unreachable at start; using peers only");
    }
  };
  await Promise.all([gossip.join(), refresh()]);
};
