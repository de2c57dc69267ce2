/** Role `side`: the proxy through which all requests reach its upstream. */
import { randomUUID } from "node:crypto";

import { Admission } from "../admission/index.js";
import { CallerBounds } from "../callers/index.js";
import type { AdmissionLimits } from "../admission/index.js";
import type { Config } from "../config/index.js";
import {
  createGossip,
  createMembership,
  loadInitialConfig,
  startCommonTasks,
} from "../daemon/runtime.js";
import type { Runtime } from "../daemon/runtime.js";
import type { Daemon } from "../daemon/types.js";
import { ControlStore } from "../control/index.js";
import { listen } from "../http/index.js";
import { PeerServer } from "../peers/index.js";
import type { SideSettings } from "../settings/index.js";
import { CacheModel } from "./cacheModel.js";
import { DataServer } from "./dataServer.js";
import { HttpModelEngine } from "./engineAdmin.js";
import { OrderExecutor } from "./orderExecutor.js";
import { SideGate } from "./sideGate.js";

const MAX_QUEUED = 256;
const PLAIN_SEQUENCES = 64;
const ENGINE_POLL_MS = 50;

const DEFAULT_LIMITS: AdmissionLimits = {
  capacity: {
    prefillTokensPerSecond: 8000,
    decodeTokensPerSecond: 40,
    maxSequences: PLAIN_SEQUENCES,
    cacheTokens: 0,
  },
  maxQueued: MAX_QUEUED,
  weightOf: () => 1,
};

/** Returns admission's limits from the configuration. */
const limitsFrom = (config: Config, serviceName: string): AdmissionLimits => {
  const service = config.services.find((item) => item.name === serviceName);
  if (service === undefined) return DEFAULT_LIMITS;
  const weights = new Map(
    config.fleet.workspaces.map((item) => [item.name, item.weight]),
  );
  return {
    capacity: service.capacity,
    maxQueued: MAX_QUEUED,
    weightOf: (workspace) => weights.get(workspace) ?? 1,
  };
};

const createExecutor = (
  runtime: Runtime,
  settings: SideSettings,
  gate: SideGate,
): OrderExecutor => {
  const { store, log, now } = runtime;
  const { id, service, kind, url } = settings.upstream;
  return new OrderExecutor({
    upstream: id,
    service,
    incarnation: randomUUID(),
    control: new ControlStore(store),
    engine: kind === "engine" ? new HttpModelEngine(url) : undefined,
    gate,
    log,
    now,
    windowMs: settings.orderWindowMs,
    pollMs: ENGINE_POLL_MS,
  });
};

export const startSide = async (
  runtime: Runtime,
  settings: SideSettings,
): Promise<Daemon> => {
  const { keeper, log, now, supervisor, link } = runtime;
  const admission = new Admission(DEFAULT_LIMITS);
  const gate = new SideGate(() => admission.inFlight);
  const executor = createExecutor(runtime, settings, gate);
  const cache = new CacheModel(DEFAULT_LIMITS.capacity.cacheTokens);
  gate.onRoleChange(() => {
    cache.clear();
    admission.setRole(gate.role);
  });
  const data = new DataServer({
    settings,
    bounds: new CallerBounds(settings.limits, runtime),
    admission,
    gate,
    cache,
    log,
    now,
    configNumber: () => keeper.number,
  });
  const peerServer = new PeerServer(settings.peers.secret);
  const peers = await peerServer.listen(settings.listen.peers);
  const { id } = settings.upstream;
  const membership = createMembership(runtime, id, "side", peers);
  const gossip = createGossip(runtime, membership);
  peerServer.setHandlers(gossip, {
    nudge: () => {
      void executor.reconcile();
      return { accepted: !executor.superseded, reason: "" };
    },
    report: () => ({ json: JSON.stringify(data.report(runtime.store.calls)) }),
  });
  keeper.onChange(({ config }) => {
    const limits = limitsFrom(config, settings.upstream.service);
    admission.setLimits(limits);
    cache.resize(limits.capacity.cacheTokens);
  });
  gate.onRoleChange(() => {
    membership.announceRole(gate.role);
    void gossip.propagate();
  });
  membership.onChange((member) => {
    if (member.id === id && member.state === "leaving") gate.close("leaving");
  });
  await loadInitialConfig(runtime, gossip);
  startCommonTasks(runtime, membership, gossip);
  await executor.reconcile();
  supervisor.every("orders", settings.orderPollMs, () => executor.reconcile());
  const dataAt = await listen(data.server, settings.listen.data);
  return {
    addresses: { data: dataAt, peers },
    stop: async () => {
      gate.close("leaving");
      membership.announce("leaving");
      await gossip.propagate();
      await gate.whenIdle();
      data.close();
      supervisor.stop();
      link.close();
      peerServer.close();
    },
  };
};
