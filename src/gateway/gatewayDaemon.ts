/** Starts a gateway: an entry that sends to replicas directly, without a side. */
import { CallerBounds, newProbeServer } from "../callers/index.js";
import type { ProcessLimits } from "../callers/index.js";
import { listen } from "../http/index.js";
import type { Daemon } from "../daemon/types.js";
import { errText } from "../shared/utils.js";
import { Supervisor } from "../tasks/index.js";
import { EntryLink } from "./entryLink.js";
import { GatewayServer } from "./gatewayServer.js";
import { GatewayState } from "./gatewayState.js";
import { sendMetrics } from "./metricsAnswer.js";
import { createPlacementRole } from "./placementRole.js";
import { PlainFlow } from "./plainFlow.js";
import type { GatewayDependencies } from "./gatewayDependencies.js";
import { createQuarantineRole } from "./quarantineRole.js";
import { RateLimits } from "../rateLimits/index.js";
import { ReplicaClient } from "./replicaClient.js";
import { RetryBudgets } from "./retryBudgets.js";
import type { RetryLimits } from "./retryBudgets.js";
import type { KeyBounds, UsageWindows } from "../workspaces/index.js";
import { StoreWatches } from "./storeWatch.js";
import { StreamFlow } from "./streamFlow.js";
import { UpstreamClient } from "./upstreamClient.js";

/**
 * How long a stopping gateway accepts new requests, ms: the load balancer
 * notices only after two health checks, a second apart.
 */
const ACCEPT_ALL_MS = 2600;
/** Time reserved for the final shutdown at the end of the grace period, ms. */
const SHUTDOWN_MARGIN_MS = 500;
/** Time for the answers to requests that the end of the grace ends, ms. */
const FINAL_ANSWERS_MS = 200;
const DRAIN_POLL_MS = 50;
/** Interval of dividing a replica's connections among the entries, ms. */
const CONNECTION_LIMITS_INTERVAL_MS = 1000;
/**
 * Fraction of a replica's connections that entries use; the rest is reserved
 * for entries that start or stop, and for orders.
 */
const CONNECTION_FRACTION = 0.8;
const MIN_CONNECTIONS = 2;
/** Fraction of its VM's CPU time that an entry may spend on placement. */
const PLACEMENT_CPU_FRACTION = 0.5;

/**
 * Fraction of a leaving replica's drain time during which it is still used if
 * there is no other; the rest is for requests in transit to it.
 */
const LAST_RESORT_FRACTION = 0.5;

export interface GatewaySettings {
  /** Name of this process, unique in the fleet. */
  id: string;
  domain: string;
  callerAddress: string;
  readyAddress: string;
  /** Address at which other gateways reach this one. */
  peerAddress: string;
  /** CPU time of its VM, in cores. */
  processorShare: number;
  /** Rate of its VM's link, bytes per ms; undefined: it has no bound. */
  linkBytesPerMs?: number;
  /** What the VM has for this process; undefined fields: defaults. */
  process?: ProcessLimits;
  /** Address of the metrics server; undefined: none is started. */
  metricsAddress?: string;
  /** How long a lease is valid after its last renewal, ms. */
  leaseMs: number;
  retry: RetryLimits;
  /** Whether the fleet starts for the first time. */
  isFirstStart: boolean;
  /** Limit on the time to catch up once the store is reachable again, ms. */
  catchUpMs: number;
  keyBounds: KeyBounds;
  /** Undefined if the platform requires no usage reports. */
  usage: UsageWindows | undefined;
  /** How long a replica keeps serving after its leaving signal, ms. */
  drainMs: number;
  /** Time from the stop signal until the process is killed, ms. */
  graceMs: number;
}

export const startGateway = async (
  settings: GatewaySettings,
  parts: GatewayDependencies,
): Promise<Daemon> => {
  const { codec, source, feed, log, metrics, rng, now, leaseNow } = parts;
  const { domain, id } = settings;
  const supervisor = new Supervisor(log);
  const link = new EntryLink({
    bytesPerMs: settings.linkBytesPerMs,
    log,
    metrics,
    rng,
    now,
  });
  const callers = new CallerBounds(settings.process ?? {}, parts);
  const upstream = new UpstreamClient(link, callers.limits.maxReplyBytes);
  const state = new GatewayState(
    source,
    log,
    now,
    leaseNow,
    (config) => server.setLimits(config.limits),
    {
      lastResortMs: settings.drainMs * LAST_RESORT_FRACTION,
      drainMs: settings.drainMs,
    },
  );
  const { replicas } = state;
  const rates = new RateLimits(rng);
  const client = new ReplicaClient({
    client: upstream,
    replicas,
    rates,
    codec,
    log,
    metrics,
    now,
  });
  const { keyBounds, drainMs, catchUpMs } = settings;
  const bounds = { applyMs: keyBounds.applyMs, drainMs };
  const watches = new StoreWatches(parts, state, catchUpMs, undefined, bounds);
  const role = await createPlacementRole({
    host: "entry",
    id,
    peerAddress: settings.peerAddress,
    capacity: settings.processorShare * PLACEMENT_CPU_FRACTION,
    orderLeaseMs: settings.leaseMs,
    keyBounds: settings.keyBounds,
    usage: settings.usage,
    duties: parts.duties,
    wallNow: parts.wallNow,
    leaseNow,
    services: () => state.engineServices(),
    state,
    watches,
    feed,
    source,
    client,
    rates,
    codec,
    log,
    metrics,
    rng,
    now,
  });
  const { placement } = role;
  const countedEntries = () =>
    placement.countedMaxEntries(state.engineServices());
  const budgets = new RetryBudgets(
    settings.retry,
    { entries: countedEntries, isFirstStart: settings.isFirstStart },
    now,
    metrics,
  );
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
    codec,
    budgets,
    link,
    domain,
    rng,
    now,
  };
  const server = new GatewayServer({
    state,
    codec,
    budgets,
    quarantine,
    link,
    bounds: callers,
    keyBounds: settings.keyBounds,
    isConfigLost: () => watches.isConfigLost,
    onBegun: role.onBegun,
    plain: new PlainFlow({
      ...shared,
      rates,
      permits: placement.permits,
      entries: countedEntries,
      log,
      metrics,
    }),
    stream: new StreamFlow({ ...shared, placement, log }, id),
    log,
    metrics,
    rng,
    now,
  });
  watches.start(supervisor);
  role.start(supervisor);
  quarantine.start(supervisor);
  supervisor.every(
    "connection limits",
    CONNECTION_LIMITS_INTERVAL_MS,
    async () => {
      for (const { name, maxConnections } of state.services()) {
        const entries = placement.maxEntryCount(state.engineServices());
        const limit = Math.floor(
          (maxConnections * CONNECTION_FRACTION) / entries,
        );
        upstream.limitConnections(name, Math.max(MIN_CONNECTIONS, limit));
      }
    },
  );
  let isStopping = false;
  const ready = newProbeServer(callers, "ready", (res) => {
    const isReady = state.isReady && !isStopping;
    res.writeHead(isReady ? 200 : 503, { "content-length": 0 });
    res.end();
  });
  const addresses: Record<string, string> = {
    callers: await listen(server.http, settings.callerAddress),
    ready: await listen(ready, settings.readyAddress),
    peers: role.peerAddress,
  };
  const metricsServer = newProbeServer(callers, "metrics", (res) =>
    sendMetrics(res, metrics),
  );
  const { metricsAddress } = settings;
  if (metricsAddress !== undefined) {
    // Serving requests matters more than metrics: start without the metrics
    // server if its address is in use.
    const listening = listen(metricsServer, metricsAddress);
    addresses.metrics = await listening.catch((err) => {
      log.warn("failed to start metrics server", {
        metricsAddress,
        why: errText(err),
      });
      return "";
    });
  }
  const { isFirstStart } = settings;
  log.info("started", { domain, isFirstStart, ...addresses });
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
 * Waits until no request is in flight and the load balancer has noticed, or
 * the grace period ends. The port stays open until then: if all entries of a
 * failure domain stop in turn, there may be no other to send requests to.
 */
const drain = async (
  server: GatewayServer,
  graceMs: number,
  now: () => number,
): Promise<void> => {
  const startedAt = now();
  const endsAt = startedAt + graceMs - SHUTDOWN_MARGIN_MS;
  const acceptsAllUntil = startedAt + Math.min(ACCEPT_ALL_MS, graceMs / 2);
  server.beginDrain({ acceptsAllUntil, endsAt });
  while (now() < endsAt) {
    if (now() > acceptsAllUntil && server.inFlight === 0) break;
    await sleep(DRAIN_POLL_MS);
  }
  server.endRequests();
  const closesAt = now() + FINAL_ANSWERS_MS;
  while (server.inFlight > 0 && now() < closesAt) await sleep(DRAIN_POLL_MS);
  server.http.close();
  server.http.closeAllConnections();
};
