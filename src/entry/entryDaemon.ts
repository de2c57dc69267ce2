/** Role `entry`: serves callers' requests and operators' commands. */
import { CallerBounds } from "../callers/index.js";
import { StoredClaims } from "../claims/index.js";
import {
  createGossip,
  createMembership,
  loadInitialConfig,
  startCommonTasks,
} from "../daemon/runtime.js";
import type { Runtime } from "../daemon/runtime.js";
import type { Daemon } from "../daemon/types.js";
import { HttpVmList, markLeavingVms } from "../daemon/vmListWatch.js";
import { listen } from "../http/index.js";
import { RankingCache } from "../membership/index.js";
import type { Membership } from "../membership/index.js";
import { PeerServer } from "../peers/index.js";
import type { Gossip } from "../peers/index.js";
import { createPolicy, Router } from "../routing/index.js";
import type { EntrySettings } from "../settings/index.js";
import { ControlStore } from "../control/index.js";
import { OperatorServer } from "../operator/index.js";
import { AttemptRunner } from "./attemptRunner.js";
import { CallerServer } from "./callerServer.js";
import { ControlLoops } from "./controlLoops.js";
import { RequestFlow } from "./requestFlow.js";
import { SideClient } from "./sideClient.js";

const STEPS_PER_LEASE = 6;
/** Number of entries per failure domain that read the VM list. */
const VM_LIST_READERS = 2;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

export const startEntry = async (
  runtime: Runtime,
  settings: EntrySettings,
): Promise<Daemon> => {
  const { keeper, now, rng, supervisor, link } = runtime;
  const router = new Router(createPolicy(settings.routingPolicy, rng), rng);
  const peerServer = new PeerServer(settings.peers.secret);
  const peers = await peerServer.listen(settings.listen.peers);
  const membership = createMembership(runtime, settings.id, "entry", peers);
  const gossip = createGossip(runtime, membership);
  peerServer.setHandlers(gossip);
  const client = createSideClient(runtime, router, membership, gossip);
  const bounds = new CallerBounds(settings.limits, runtime);
  const callers = createCallerServer(runtime, settings, bounds, router, client);
  const operators = createOperatorServer(
    runtime,
    settings,
    bounds,
    router,
    membership,
  );
  followMembers(membership, router, now);
  keeper.onChange(({ config }) => {
    const ids = config.services.flatMap((item) =>
      item.upstreams.map((upstream) => upstream.id),
    );
    router.retain(new Set(ids));
  });
  await loadInitialConfig(runtime, gossip);
  startCommonTasks(runtime, membership, gossip);
  startVmList(runtime, settings, membership);
  const operatorsAt = await listen(operators.server, settings.listen.operators);
  const callersAt = await listen(callers.server, settings.listen.callers);
  return {
    addresses: { callers: callersAt, operators: operatorsAt, peers },
    stop: async () => {
      callers.startLeaving();
      membership.announce("leaving");
      void gossip.propagate();
      await sleep(settings.lameDuckMs);
      await callers.closeWhenIdle();
      operators.server.close();
      operators.server.closeAllConnections();
      supervisor.stop();
      client.close();
      link.close();
      peerServer.close();
    },
  };
};

/**
 * Creates the client for sides. Load reports in responses go to the router; a
 * newer configuration number triggers a fetch of the configuration.
 */
const createSideClient = (
  { keeper, now }: Runtime,
  router: Router,
  membership: Membership,
  gossip: Gossip,
): SideClient =>
  new SideClient(
    (upstream, load) => router.onReport(upstream, load, now()),
    (number, upstream) => {
      const address = membership.get(upstream)?.peerAddress;
      if (number <= keeper.number || address === undefined) return;
      void gossip.pullConfig(address);
    },
  );

/** Creates the server for callers' requests with its dependencies. */
const createCallerServer = (
  { keeper, log, metrics, now, store }: Runtime,
  settings: EntrySettings,
  bounds: CallerBounds,
  router: Router,
  client: SideClient,
): CallerServer => {
  const attempts = new AttemptRunner({
    router,
    client,
    metrics,
    secret: settings.peers.secret,
    maxAnswerBytes: settings.limits.maxAnswerBytes,
    now,
  });
  const claims = new StoredClaims(store, () => Date.now());
  const flow = new RequestFlow({
    router,
    attempts,
    claims,
    log,
    metrics,
    now,
  });
  const config = () => keeper.current;
  return new CallerServer({ settings, bounds, flow, config, log, now });
};

/** Starts the control loops and creates the server for operators' commands. */
const createOperatorServer = (
  runtime: Runtime,
  settings: EntrySettings,
  bounds: CallerBounds,
  router: Router,
  membership: Membership,
): OperatorServer => {
  const { keeper, log, metrics, now, store, link, supervisor } = runtime;
  const control = new ControlStore(store);
  const loops = new ControlLoops(
    {
      self: `${settings.id}/${membership.self.incarnation}`,
      leaseMs: settings.leaseMs,
      control,
      link,
      log,
      now,
      wallClock: () => Date.now(),
    },
    keeper,
    membership,
  );
  supervisor.every("control", settings.leaseMs / STEPS_PER_LEASE, () =>
    loops.step(),
  );
  return new OperatorServer({
    bounds,
    token: settings.operatorToken,
    log,
    context: {
      keeper,
      control,
      store,
      router,
      membership,
      metrics,
      link,
      planOf: (service) => loops.planOf(service),
      now,
    },
  });
};

/** Passes changes of sides' membership state to the router. */
const followMembers = (
  membership: Membership,
  router: Router,
  now: () => number,
): void => {
  membership.onChange((member) => {
    if (member.kind !== "side") return;
    router.onMember(member, now());
  });
};

const startVmList = (
  runtime: Runtime,
  settings: EntrySettings,
  membership: Membership,
): void => {
  if (settings.vmList === undefined) return;
  const list = new HttpVmList(settings.vmList.url);
  const { supervisor, keeper, now } = runtime;
  const readers = new RankingCache(
    membership,
    ({ kind, domain, state }) =>
      kind === "entry" && domain === settings.domain && state === "alive",
  );
  supervisor.every("vm-list", settings.vmList.pollMs, async () => {
    // A few entries per failure domain read the list; others learn by gossip.
    if (!readers.isSelfRanked("vm-list", VM_LIST_READERS)) return;
    markLeavingVms(await list.read(), keeper, membership, now());
  });
};
