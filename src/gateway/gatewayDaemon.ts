/** A gateway: an entry that reaches replicas without a side. */
import http from "node:http";

import { listen } from "../http/index.js";
import type { Daemon } from "../daemon/types.js";
import {
  LocalPlacement,
  PlacementServer,
  SharedPlacement,
} from "../placement/index.js";
import type { Rng } from "../shared/rng.js";
import { FeedWatch } from "../store/index.js";
import type { ObjectFeed } from "../store/index.js";
import { Supervisor } from "../tasks/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { GatewayServer } from "./gatewayServer.js";
import { GatewayState } from "./gatewayState.js";
import type { GatewaySource } from "./gatewayState.js";
import { PlainFlow } from "./plainFlow.js";
import type { RequestForm } from "./requestForm.js";
import { RetryBudgets } from "./retryBudgets.js";
import type { RetryLimits } from "./retryBudgets.js";
import { StageKeeper } from "./stageKeeper.js";
import { StreamFlow } from "./streamFlow.js";
import { UpstreamClient } from "./upstreamClient.js";

/** Period of keeping or seeking leases, ms. */
const LEASE_STEP_MS = 300;
/** Period of planning stages, ms. */
const STAGE_STEP_MS = 250;
/** Period of dropping what was never reported on, ms. */
const HOUSEKEEPING_MS = 250;
/**
 * How long a stopping gateway takes new requests, ms: the balancer notices
 * only after two questions, a second apart.
 */
const STILL_TAKES_MS = 2600;
/** Time kept for the end itself at the end of the grace, ms. */
const END_MARGIN_MS = 500;
const DRAIN_POLL_MS = 50;

export interface GatewaySettings {
  /** Name of this process, unique in the fleet. */
  id: string;
  zone: string;
  callerAddress: string;
  readyAddress: string;
  /** Where other gateways reach this one. */
  peerAddress: string;
  /** How long a lease outlasts its last renewal, ms. */
  leaseMs: number;
  retry: RetryLimits;
  /** From the signal to stop until the process is ended, ms. */
  graceMs: number;
}

/** What a gateway is made of besides its settings. */
export interface GatewayParts {
  form: RequestForm;
  source: GatewaySource;
  feed: ObjectFeed;
  log: Log;
  metrics: Metrics;
  rng: Rng;
  now: () => number;
}

export const startGateway = async (
  settings: GatewaySettings,
  parts: GatewayParts,
): Promise<Daemon> => {
  const { form, source, log, metrics, rng, now } = parts;
  const supervisor = new Supervisor(log);
  const client = new UpstreamClient();
  const state = new GatewayState(source, log, now, (config) => {
    server.setLimits(config.limits);
  });
  const { zone, id } = settings;
  const local: LocalPlacement = new LocalPlacement({
    engines: (service) => state.engines(service),
    share: (service) => placement.share(service),
    now,
  });
  const placement: SharedPlacement = new SharedPlacement({
    local,
    feed: parts.feed,
    self: id,
    address: () => peerAddress,
    leaseMs: settings.leaseMs,
    entriesHere: (service) => peers.entries(service),
    log,
    now,
  });
  const peers: PlacementServer = new PlacementServer({
    placement: local,
    isHolder: (service) => placement.isHolder(service),
    isFresh: (service) => placement.isFresh(service),
    log,
  });
  const budgets = new RetryBudgets(settings.retry, now);
  const peerAddress = await peers.listen(settings.peerAddress);
  const { replicas } = state;
  const shared = { replicas, client, form, budgets, zone, now };
  const server = new GatewayServer({
    state,
    form,
    budgets,
    plain: new PlainFlow(shared),
    stream: new StreamFlow({ ...shared, placement, log }, id),
    log,
    metrics,
    rng,
    now,
  });
  const newStageKeeper = (service: string): StageKeeper =>
    new StageKeeper({
      service,
      self: id,
      leaseMs: settings.leaseMs,
      scheduler: local.scheduler(service),
      replicas,
      authority: placement,
      client,
      form,
      log,
      now,
    });
  watchStore(supervisor, parts, state);
  supervisor.every("housekeeping", HOUSEKEEPING_MS, async () => {
    state.expire();
    local.expire();
  });
  supervisor.every("leases", LEASE_STEP_MS, () =>
    placement.step(state.engineServices()),
  );
  const stages = new Map<string, StageKeeper>();
  supervisor.every("stages", STAGE_STEP_MS, async () => {
    for (const service of state.engineServices()) {
      const keeper = stages.get(service) ?? newStageKeeper(service);
      stages.set(service, keeper);
      await keeper.step();
    }
  });
  let isStopping = false;
  const ready = http.createServer((_req, res) => {
    const isReady = state.isReady && !isStopping;
    res.writeHead(isReady ? 200 : 503, { "content-length": 0 });
    res.end();
  });
  const addresses = {
    callers: await listen(server.http, settings.callerAddress),
    ready: await listen(ready, settings.readyAddress),
    peers: peerAddress,
  };
  log.info("started", { zone, ...addresses });
  const stop = async () => {
    isStopping = true;
    log.info("stopping", { inFlight: server.inFlight });
    await drain(server, settings.graceMs, now);
    supervisor.stop();
    placement.close();
    peers.close();
    client.close();
    ready.close();
    ready.closeAllConnections();
    log.info("stopped", { inFlight: server.inFlight });
  };
  return { addresses, stop };
};

const watchStore = (
  supervisor: Supervisor,
  { source, feed, log, rng, now }: GatewayParts,
  state: GatewayState,
): void => {
  const common = { feed, log, rng, now };
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

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Takes requests until the balancer has noticed, answers what is in flight,
 * and ends before the grace does.
 */
const drain = async (
  server: GatewayServer,
  graceMs: number,
  now: () => number,
): Promise<void> => {
  const begun = now();
  const endAt = begun + graceMs - END_MARGIN_MS;
  server.closeWithAnswers();
  await sleep(Math.min(STILL_TAKES_MS, graceMs / 2));
  server.http.close();
  while (server.inFlight > 0 && now() < endAt) {
    server.http.closeIdleConnections();
    await sleep(DRAIN_POLL_MS);
  }
  server.http.closeAllConnections();
};
