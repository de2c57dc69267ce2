/** A gateway: an entry that reaches replicas without a side. */
import http from "node:http";

import { listen } from "../http/index.js";
import type { Daemon } from "../daemon/types.js";
import { errText } from "../shared/utils.js";
import { Supervisor } from "../tasks/index.js";
import { GatewayServer } from "./gatewayServer.js";
import { GatewayState } from "./gatewayState.js";
import { newMetricsServer } from "./metricsServer.js";
import { createPlacementRole } from "./placementRole.js";
import { PlainFlow } from "./plainFlow.js";
import type { GatewayParts } from "./parts.js";
import { createQuarantineRole } from "./quarantineRole.js";
import { RateLimits } from "../rateLimits/index.js";
import { ReplicaClient } from "./replicaClient.js";
import { RetryBudgets } from "./retryBudgets.js";
import type { RetryLimits } from "./retryBudgets.js";
import type { KeyBounds, UsageWindows } from "../workspaces/index.js";
import { watchStore } from "./storeWatch.js";
import { StreamFlow } from "./streamFlow.js";
import { UpstreamClient } from "./upstreamClient.js";

/**
 * How long a stopping gateway takes new requests, ms: the balancer notices
 * only after two questions, a second apart.
 */
const STILL_TAKES_MS = 2600;
/** Time kept for the end itself at the end of the grace, ms. */
const END_MARGIN_MS = 500;
const DRAIN_POLL_MS = 50;
/** Period of dividing a replica's connections among the entries, ms. */
const CONNECTION_LIMITS_MS = 1000;
/** Part of a replica's connections that entries use; the rest covers
 * entries that come and go, and orders. */
const CONNECTION_PART = 0.8;
const LEAST_CONNECTIONS = 2;
/** Part of its VM's processor time that an entry may use to place for all. */
const PLACING_PART = 0.5;

/**
 * Part of the time for which a leaving replica goes on serving in which it is
 * used where there is no other; the rest covers callers' way to it.
 */
const LAST_RESORT_PART = 0.5;

export interface GatewaySettings {
  /** Name of this process, unique in the fleet. */
  id: string;
  domain: string;
  callerAddress: string;
  readyAddress: string;
  /** Where other gateways reach this one. */
  peerAddress: string;
  /** Processor time of its VM, in cores. */
  processorShare: number;
  /** Where counters and latencies are told as text; undefined: nowhere. */
  metricsAddress?: string;
  /** How long a lease outlasts its last renewal, ms. */
  leaseMs: number;
  retry: RetryLimits;
  /** After a cut from the store has healed, it knows the news by then, ms. */
  catchUpMs: number;
  keyBounds: KeyBounds;
  /** Undefined where the platform wants no usage report. */
  usage: UsageWindows | undefined;
  /** How long a replica goes on serving after its signal that it leaves, ms. */
  drainMs: number;
  /** From the signal to stop until the process is ended, ms. */
  graceMs: number;
}

export const startGateway = async (
  settings: GatewaySettings,
  parts: GatewayParts,
): Promise<Daemon> => {
  const { form, source, feed, log, metrics, rng, now, leaseNow } = parts;
  const { domain, id } = settings;
  const supervisor = new Supervisor(log);
  const upstream = new UpstreamClient();
  const state = new GatewayState(
    source,
    log,
    now,
    leaseNow,
    (config) => server.setLimits(config.limits),
    settings.drainMs * LAST_RESORT_PART,
  );
  const { replicas } = state;
  const rates = new RateLimits(rng);
  const client = new ReplicaClient({
    client: upstream,
    replicas,
    rates,
    form,
    log,
    metrics,
    now,
  });
  const role = await createPlacementRole({
    host: "entry",
    id,
    peerAddress: settings.peerAddress,
    capacity: settings.processorShare * PLACING_PART,
    orderLeaseMs: settings.leaseMs,
    keyBounds: settings.keyBounds,
    usage: settings.usage,
    duties: parts.duties,
    wallNow: parts.wallNow,
    leaseNow,
    services: () => state.engineServices(),
    state,
    feed,
    client,
    rates,
    form,
    log,
    now,
  });
  const { placement } = role;
  const countedEntries = () =>
    placement.countedMaxEntries(state.engineServices());
  const budgets = new RetryBudgets(settings.retry, countedEntries, now);
  client.onLeaving = ({ id: engine, service }) => {
    if (!state.engineServices().includes(service)) return;
    placement.reportEvent(service, { kind: "leaving", id: "", engine });
  };
  const { ends, quarantine } = createQuarantineRole(id, parts, state, upstream);
  state.onUnreadable = (what) => metrics.count("unreadable", { what });
  const shared = {
    replicas,
    ends,
    quarantine,
    client,
    upstream,
    form,
    budgets,
    domain,
    rng,
    now,
  };
  const server = new GatewayServer({
    state,
    form,
    budgets,
    quarantine,
    keyBounds: settings.keyBounds,
    onBegun: role.onBegun,
    plain: new PlainFlow({ ...shared, rates, permits: placement.permits }),
    stream: new StreamFlow({ ...shared, placement, log }, id),
    log,
    metrics,
    rng,
    now,
  });
  watchStore(supervisor, parts, state, settings.catchUpMs);
  role.start(supervisor);
  quarantine.start(supervisor);
  supervisor.every("connection limits", CONNECTION_LIMITS_MS, async () => {
    for (const { name, maxConnections } of state.services()) {
      const entries = placement.maxEntryCount(state.engineServices());
      const most = Math.floor((maxConnections * CONNECTION_PART) / entries);
      upstream.limitConnections(name, Math.max(LEAST_CONNECTIONS, most));
    }
  });
  let isStopping = false;
  const ready = http.createServer((_req, res) => {
    const isReady = state.isReady && !isStopping;
    res.writeHead(isReady ? 200 : 503, { "content-length": 0 });
    res.end();
  });
  const addresses: Record<string, string> = {
    callers: await listen(server.http, settings.callerAddress),
    ready: await listen(ready, settings.readyAddress),
    peers: role.peerAddress,
  };
  const metricsServer = newMetricsServer(metrics);
  const { metricsAddress } = settings;
  if (metricsAddress !== undefined) {
    // Requests go before figures: an address in use is no reason not to start.
    const listening = listen(metricsServer, metricsAddress);
    addresses.metrics = await listening.catch((err) => {
      log.warn("metrics are not served", { metricsAddress, why: errText(err) });
      return "";
    });
  }
  log.info("started", { domain, ...addresses });
  const stop = async () => {
    isStopping = true;
    log.info("stopping", { inFlight: server.inFlight });
    await drain(server, settings.graceMs, now);
    supervisor.stop();
    role.stop();
    upstream.close();
    metricsServer.close();
    ready.close();
    ready.closeAllConnections();
    log.info("stopped", { inFlight: server.inFlight });
  };
  return { addresses, stop };
};

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Goes on until nothing is in flight and the balancer has noticed, or the
 * grace ends. The port stays open until then: where all entries of a failure
 * domain stop in turn, there may be no other to turn to.
 */
const drain = async (
  server: GatewayServer,
  graceMs: number,
  now: () => number,
): Promise<void> => {
  const begun = now();
  const endsAt = begun + graceMs - END_MARGIN_MS;
  const takesAllUntil = begun + Math.min(STILL_TAKES_MS, graceMs / 2);
  server.beginDrain({ takesAllUntil, endsAt });
  while (now() < endsAt) {
    if (now() > takesAllUntil && server.inFlight === 0) break;
    await sleep(DRAIN_POLL_MS);
  }
  server.http.close();
  server.http.closeAllConnections();
};
