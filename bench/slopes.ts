/**
 * Measures how the cost of each decision and message grows with size:
 * processor time, bytes and memory. docs/CAPACITY.md is calculated from these
 * figures.
 */
import Table from "cli-table3";

import { Admission } from "../src/admission/index.js";
import { applyClaimEvent, EMPTY_CLAIMS } from "../src/claims/claimTable.js";
import {
  adoptSnapshot,
  configSchema,
  toSnapshot,
} from "../src/config/index.js";
import type { Config, ConfigState } from "../src/config/index.js";
import { giveOrder } from "../src/control/index.js";
import type { ControlRecord } from "../src/control/index.js";
import { Digest } from "../src/gen/snowgate.js";
import { Membership, RankingCache } from "../src/membership/index.js";
import type { Member } from "../src/membership/index.js";
import { packBodies } from "../src/peers/packedBodies.js";
import { requestDigest } from "../src/quarantine/index.js";
import { planRole } from "../src/roles/index.js";
import { createPolicy, prefixChain, Router } from "../src/routing/index.js";
import { seededRng } from "../src/shared/rng.js";
import { StatsdMetrics } from "../src/telemetry/index.js";

const US_PER_MS = 1000;
const MIN_MEASUREMENT_MS = 200;

/** Mean duration of one call, µs, measured after 20 warm-up calls. */
const meanCallUs = (work: (round: number) => void): number => {
  for (let round = 0; round < 20; round += 1) work(round);
  const startedAt = performance.now();
  let rounds = 0;
  while (performance.now() - startedAt < MIN_MEASUREMENT_MS) {
    work(rounds);
    rounds += 1;
  }
  return ((performance.now() - startedAt) / rounds) * US_PER_MS;
};

/** Heap used by a value, KB; accurate only under `node --expose-gc`. */
const heapUsageKb = (make: () => unknown): number => {
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  const kept = make();
  global.gc?.();
  const after = process.memoryUsage().heapUsed;
  void kept;
  return Math.max(0, after - before) / 1024;
};

const table = new Table({
  head: ["what", "size", "µs each", "bytes", "heap KB"],
  style: { head: [], compact: true },
});

const addRow = (
  what: string,
  size: number,
  us: number | undefined,
  bytes?: number,
  heapKb?: number,
): void => {
  const cell = (value: number | undefined, digits: number) =>
    value === undefined ? "" : value.toFixed(digits);
  table.push([what, size, cell(us, 2), cell(bytes, 0), cell(heapKb, 0)]);
};

const makeUpstreams = (prefix: string, count: number) =>
  Array.from({ length: count }, (_item, at) => ({
    id: `${prefix}-${at}`,
    vm: `vm-${prefix}-${at}`,
    site: "bilbao",
    dataAddress: "10.11.12.13:8080",
    peerAddress: "10.11.12.13:8082",
  }));

const makeConfig = (services: number, replicas: number): Config =>
  configSchema.parse({
    fleet: {
      name: "f",
      sites: [{ name: "bilbao", region: "r", domain: "d" }],
    },
    services: Array.from({ length: services }, (_item, at) => ({
      name: `service-${at}`,
      kind: "model",
      models: [{ name: `model-${at}`, version: "1" }],
      classes: [{ name: "c", urgency: "normal", deadlineMs: 1000 }],
      defaultClass: "c",
      upstreams: makeUpstreams(`s${at}`, replicas),
    })),
  });

const measureRouting = (replicas: number): void => {
  const service = makeConfig(1, replicas).services[0]!;
  const rng = seededRng(1);
  const router = new Router(createPolicy("expected-finish", rng), rng);
  const prompt = "manual ".repeat(2000);
  const chains = Array.from({ length: 50 }, (_item, at) =>
    prefixChain("m", `${at} ${prompt}`),
  );
  const request = (round: number) => ({
    service,
    phase: "whole" as const,
    urgency: "normal" as const,
    promptTokens: 3500,
    outputTokens: 100,
    prefixes: chains[round % chains.length]!,
    deadlineAt: 1e9,
    tried: new Set<string>(),
  });
  const us = meanCallUs((round) => {
    const one = request(round);
    const choice = router.choose(one, round);
    router.onSent(choice!.upstream.id, one, round);
    router.onEnd(choice!.upstream.id);
  });
  addRow("route one request, by replicas", replicas, us);
};

const measurePrefixHashing = (tokens: number): void => {
  const prompt = "x".repeat(tokens * 4);
  addRow(
    "hash a prompt's prefixes, by tokens",
    tokens,
    meanCallUs(() => void prefixChain("m", prompt)),
  );
};

const measureAdmission = (queued: number): void => {
  const capacity = {
    prefillTokensPerSecond: 8000,
    decodeTokensPerSecond: 40,
    maxSequences: 32,
    cacheTokens: 0,
  };
  const limits = { capacity, maxQueued: queued + 10, weightOf: () => 1 };
  const gate = new Admission(limits);
  const arrival = (id: string) => ({
    id,
    workspace: `w${id.length % 7}`,
    urgency: "normal" as const,
    prefillTokens: 1,
    outputTokens: 1,
    deadlineAt: 1e12,
  });
  for (let at = 0; at < queued + 32; at += 1) gate.arrive(arrival(`q${at}`), 0);
  let oldest = 0;
  const us = meanCallUs((round) => {
    gate.arrive(arrival(`r${round}`), 0);
    gate.remove(`q${oldest}`);
    oldest += 1;
    gate.admitWaiting(0);
    gate.remove(`r${round}`);
  });
  addRow("admit and release, by queue", queued, us);
};

const makeMember = (at: number): Member => ({
  id: `member-${at}`,
  kind: at % 6 === 0 ? "entry" : "side",
  state: "alive",
  incarnation: 1_700_000_000_000 + at,
  peerAddress: `10.${at % 250}.12.13:8082`,
  domain: `domain-${at % 7}`,
  role: "",
});

const measureMembership = (size: number): void => {
  const members = Array.from({ length: size }, (_item, at) => makeMember(at));
  const rng = seededRng(2);
  const make = () => {
    const one = new Membership(makeMember(0));
    one.merge(members, 0);
    return one;
  };
  const heap = heapUsageKb(make);
  const one = make();
  for (let at = 0; at < size * 20; at += 1) one.takeRumours();
  const quiet = Digest.encode({
    from: "member-0",
    peerAddress: "10.1.12.13:8082",
    configNumber: 14_000,
    membersHash: one.hash,
    rumours: one.takeRumours(),
  }).finish().length;
  addRow(
    "pick peers and tick, by members (quiet digest)",
    size,
    meanCallUs((round) => {
      one.tick(round);
      one.pickPeers(2, rng);
    }),
    quiet,
    heap,
  );
  const domain = new RankingCache(one, (item) => item.domain === "domain-0");
  addRow(
    "am I a watcher, by members",
    size,
    meanCallUs(() => void domain.isSelfRanked("watch", 2)),
  );
  let incarnation = 2e12;
  addRow(
    "the same after news of a member, by members",
    size,
    meanCallUs(() => {
      incarnation += 1;
      one.merge([{ ...makeMember(7), incarnation }], 0);
      domain.isSelfRanked("watch", 2);
    }),
  );
  const full = Digest.encode({
    from: "member-0",
    peerAddress: "10.1.12.13:8082",
    configNumber: 14_000,
    membersHash: one.hash,
    rumours: members.slice(0, 12),
  }).finish().length;
  addRow("digest with 12 rumours", 12, undefined, full);
};

/** Builds what a peer would send: only the changed parts. */
const makeDelta = (config: Config, state: ConfigState, number: number) => {
  const [service] = config.services;
  const part = toSnapshot({ ...config, services: [service!] }, number);
  const parts = { ...state.head.parts, ...part.head.parts };
  return { head: { number, parts }, bodies: part.bodies };
};

const measureConfiguration = (services: number, replicas: number): void => {
  const config = makeConfig(services, replicas);
  const snapshot = toSnapshot(config, 1);
  const total = Object.values(snapshot.bodies).reduce(
    (sum, body) => sum + body.length,
    0,
  );
  const heap = heapUsageKb(() => adoptSnapshot(undefined, snapshot));
  addRow(
    "take a whole configuration, by replicas",
    services * replicas,
    meanCallUs((round) => {
      adoptSnapshot(undefined, toSnapshot(config, round + 1));
    }),
    total,
    heap,
  );
  const changed = makeConfig(services, replicas);
  let state = adoptSnapshot(undefined, snapshot);
  addRow(
    "take a change of one service, by replicas",
    services * replicas,
    meanCallUs((round) => {
      changed.services[0]!.classes[0]!.deadlineMs = 1000 + (round % 1000);
      state = adoptSnapshot(state, makeDelta(changed, state!, round + 2));
    }),
  );
  const part = snapshot.bodies[snapshot.head.parts["service/service-0"] ?? ""];
  addRow("one service's part, by replicas", replicas, undefined, part?.length);
  const packed = packBodies({ print: part ?? "" });
  addRow(
    "the same as it travels, by replicas",
    replicas,
    meanCallUs(() => void packBodies({ print: part ?? "" })),
    packed.length,
  );
  const head = JSON.stringify(snapshot.head).length;
  addRow("head, by services", services, undefined, head);
};

const measureClaims = (held: number): void => {
  let filled = EMPTY_CLAIMS;
  const request = (at: number) => ({
    service: "s",
    key: `0f8fad5b-d9cb-469f-a165-70867728950e-${at}`,
    print: "0123456789abcdef",
    requestId: `7c9e6679-7425-40de-944b-e07fc1f90ae7-${at}`,
  });
  for (let at = 0; at < held; at += 1) {
    filled = applyClaimEvent(
      filled,
      { kind: "begin", request: request(at) },
      0,
    );
  }
  const us = meanCallUs((round) => {
    const event = { kind: "begin", request: request(held + round) } as const;
    JSON.stringify(applyClaimEvent(filled, event, 0));
  });
  addRow(
    "claim a key, by keys held in its shard",
    held,
    us,
    JSON.stringify(filled).length,
  );
};

const measureControl = (replicas: number): void => {
  let record: ControlRecord = {
    lease: { holder: "entry-1/1700000000000", epoch: 1, beat: 1 },
    desired: {},
    roleChangedAt: 0,
  };
  for (let at = 0; at < replicas; at += 1) {
    const answer = giveOrder(record, undefined, {
      id: "7c9e6679-7425-40de-944b-e07fc1f90ae7",
      upstream: `s0-${at}`,
      action: { kind: "drain" },
      by: "operator",
    });
    if (answer.kind === "accepted") record = answer.record;
  }
  const us = meanCallUs(() => void JSON.parse(JSON.stringify(record)));
  const bytes = JSON.stringify(record).length;
  addRow("read and write a control record, by replicas", replicas, us, bytes);
};

const measureRoles = (replicas: number): void => {
  const service = makeConfig(1, replicas).services[0]!;
  const engines = service.upstreams.map(({ id }) => ({
    upstream: id,
    role: "mixed" as const,
    isAvailable: true,
    prefillPerSecond: 6000,
    decodePerSecond: 700,
    ageMs: 10,
  }));
  addRow(
    "plan roles, by replicas",
    replicas,
    meanCallUs(() => {
      planRole({ service, engines, sinceChangeMs: 1e9, roleChangeMs: 5000 });
    }),
  );
};

const measureHistograms = (workspaces: number): void => {
  const metrics = new StatsdMetrics(undefined);
  const heap = heapUsageKb(() => {
    for (let at = 0; at < workspaces * 10; at += 1) {
      metrics.latency("s/c", `workspace-${at % workspaces}`, at % 5000);
    }
    return metrics;
  });
  addRow(
    "record a latency, by workspaces",
    workspaces,
    meanCallUs((round) => {
      metrics.latency("s/c", `workspace-${round % workspaces}`, round % 5000);
    }),
    undefined,
    heap,
  );
};

for (const size of [8, 50, 200, 800]) measureRouting(size);
for (const size of [100, 1000, 10_000]) measurePrefixHashing(size);
for (const size of [10, 100, 250]) measureAdmission(size);
for (const size of [100, 1000, 4100]) measureMembership(size);
measureConfiguration(2, 8);
measureConfiguration(17, 50);
measureConfiguration(17, 200);
for (const size of [10, 100, 1000]) measureClaims(size);
for (const size of [8, 50, 200]) measureControl(size);
for (const size of [8, 50, 200]) measureRoles(size);
for (const size of [10, 64, 1000, 6000]) measureHistograms(size);
const DIGESTED_BYTES = [0, 2048, 16_384, 65_536];
for (const bytes of DIGESTED_BYTES) {
  const body = Buffer.alloc(bytes, 7);
  const host = "parts.example";
  const request = { host, target: "/a/7", workspace: "depot", body };
  const micros = meanCallUs(() => requestDigest(request));
  addRow("digest of a request, by body", bytes, micros);
}

console.log(table.toString());
