/**
 * Model replicas are replaced, two at a time, while the store cuts the watches
 * that wait. No request may reach a replica later than `drainMs` after the store
 * has removed its entry.
 */
import http from "node:http";
import path from "node:path";
import { fileURLToPath } from "node:url";

import {
  attempt,
  BROKEN,
  Deployment,
  HELD,
  isServed,
  LIMITS,
  newId,
  NOT_RUN,
  sleep,
} from "../lib-2/deployment.mjs";

const HERE = path.dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOST = "biljett.example";
const SERVICE = "fare-reader";
const DRAIN_MS = 2000;
const DEADLINE_MS = 6000;
const PER_S = 60;
/** What a prefill engine takes for 17,020 tokens at 64.2 tokens a ms. */
const READ_MS = 265;
/** Replicas replaced at a time, and the time between two steps. */
const AT_A_TIME = 2;
const GAP_MS = 1000;
/** Steps of one release, and releases of the day. */
const STEPS = 3;
const RELEASES = 7;
const BETWEEN_RELEASES_MS = 7000;
/** From the entry of a new replica to the end of the old one's. */
const HANDOVER_MS = 20;
/** A machine that is too busy for the store to answer in time judges nothing. */
const MAX_PAUSE_MS = 700;
/** Time after the end of an entry in which the store must not stand still. */
const JUDGED_MS = 2500;
/** How long a replica serves on after its entry has gone. */
const SERVES_ON_MS = 6000;

const CONFIG = {
  version: 3,
  routes: [
    {
      name: "ruling",
      host: HOST,
      pathPrefix: "/ruling/",
      service: SERVICE,
      routeType: "stream",
      timeoutMs: DEADLINE_MS,
      targetLatencyMs: 600,
      gapTargetMs: 200,
      maxAttempts: 2,
      priority: 0,
      resumable: false,
      sticky: true,
    },
  ],
  services: [
    {
      name: SERVICE,
      maxConnections: 370,
      healthPath: "/healthz",
      engine: {
        slots: 64,
        kvCapacityTokens: 469_757,
        handleTtlS: 5,
        switchS: 3,
      },
    },
  ],
  limits: LIMITS,
};

const engine = (stage, at) => ({
  service: SERVICE,
  host: `127.0.3.${at + 1}`,
  stage,
  slots: 64,
  workMs: READ_MS,
  readMs: READ_MS,
  events: 40,
  eventMs: 25,
  switchMs: 3000,
});

const deployment = new Deployment(path.join(HERE, "record.txt"));
const { store } = deployment;
await store.listen("127.0.0.1");
store.put("config", "main", CONFIG);
const stages = [...Array(4).fill("prefill"), ...Array(8).fill("decode")];
const serving = [];
for (const [at, stage] of stages.entries())
  serving.push(await deployment.addReplica(engine(stage, at)));
for (let at = 0; at < 3; at += 1) await deployment.addMachine("entry", at);
for (let at = 0; at < 3; at += 1) await deployment.addMachine("scheduler", at);
await deployment.waitUntilReady();
await sleep(4000);
const entries = deployment.machines.filter(({ role }) => role === "entry");
const agent = new http.Agent({ keepAlive: true });

let sent = 0;
let served = 0;
const request = async (number) => {
  const answer = await attempt(agent, entries[number % entries.length], {
    method: "POST",
    host: HOST,
    target: "/ruling/ask",
    id: newId("ruling"),
    deadlineMs: DEADLINE_MS,
    body: `case ${number}`,
    headers: {
      Model: "m",
      "Token-Count": "17020,40",
      "Prefix-Hash": `5c1e07a2:9000,${(0x1000 + (number % 50)).toString(16)}:4300,${(0x9000 + number).toString(16)}:3720`,
    },
  });
  sent += 1;
  if (isServed(answer)) served += 1;
};

const open = new Set();
let number = 0;
const timer = setInterval(() => {
  number += 1;
  const done = request(number).finally(() => open.delete(done));
  open.add(done);
}, 1000 / PER_S);
await sleep(5000);

/** When the store removed the entry of each replica, ms since 1970. */
const removedAt = new Map();

/** The new one starts first; the old one's entry goes, and it serves on. */
const replace = async (old) => {
  const { stage } = store.get("servers", old.id).spec;
  serving.splice(serving.indexOf(old), 1);
  const { host } = old.options;
  const options = { ...old.options, host, stage, address: undefined };
  const fresh = await deployment.addReplica(options);
  serving.push(fresh);
  while (store.get("servers", fresh.id) === undefined) await sleep(5);
  await sleep(HANDOVER_MS);
  old.child.send({ leave: true });
  await sleep(5);
  store.remove("servers", old.id);
  removedAt.set(old.id, Date.now());
  deployment.note(`entry of ${old.id} removed`);
  setTimeout(() => old.child.kill("SIGKILL"), SERVES_ON_MS);
};

for (let release = 0; release < RELEASES; release += 1) {
  const oldest = [...serving].sort(() => Math.random() - 0.5);
  if (HAS_TROUBLE) deployment.note(`${store.cutWatches()} watches cut`);
  await sleep(300);
  for (let step = 0; step < STEPS; step += 1) {
    const olds = oldest.splice(0, AT_A_TIME);
    await Promise.all(olds.map((old) => replace(old)));
    await sleep(GAP_MS);
  }
  await sleep(BETWEEN_RELEASES_MS);
}
clearInterval(timer);
await Promise.all(open);

/** Whether the store stood still while the end of a replica was made known. */
const isDisturbed = (id) => {
  const at = removedAt.get(id);
  return deployment.pauses.some(
    ({ endedAt, pauseMs }) =>
      endedAt >= at && endedAt - pauseMs <= at + JUDGED_MS,
  );
};

let late = 0;
for (const { got, replica, isPrefill, gotAt } of deployment.arrivals) {
  const sinceMs = gotAt - (removedAt.get(replica) ?? Infinity);
  if (sinceMs <= DRAIN_MS || isDisturbed(replica)) continue;
  late += 1;
  const what = isPrefill ? "prefill" : "run";
  deployment.note(`${what} of ${got} reached ${replica} after ${sinceMs} ms`);
}
for (const [id, at] of removedAt) {
  const list = deployment.arrivals.filter(({ replica }) => replica === id);
  const after = list.map(({ gotAt }) => gotAt - at).filter((ms) => ms > 0);
  const runs = list.filter(({ isPrefill }) => !isPrefill).length;
  deployment.note(
    `${id}: ${list.length} arrivals, ${runs} runs; after its entry had gone ` +
      `${after.length}, the last ${Math.max(0, ...after)} ms after it`,
  );
}
deployment.note(`${sent} sent, ${served} served; ${late} arrivals too late`);
for (const { node, log } of deployment.machines)
  for (const line of log)
    if (/store lost|store regained|replica (gone|vanished)/.test(line))
      deployment.note(`${node} ${line}`);
const pauseMs = Math.max(0, ...deployment.pauses.map((item) => item.pauseMs));
deployment.note(
  `the store stood still for ${Math.round(pauseMs)} ms at most; ` +
    `${[...removedAt.keys()].filter(isDisturbed).length} replicas not judged`,
);
if (pauseMs > MAX_PAUSE_MS) deployment.end(NOT_RUN);
if (served < sent / 2) deployment.end(NOT_RUN);
deployment.end(late > 0 ? BROKEN : HELD);
