/**
 * All replicas of a model service crash at once and come back 5 s later. A
 * request that many clients send alike must be served again afterwards.
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
  sleep,
} from "../lib-2/deployment.mjs";

const HERE = path.dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOST = "parts.example";
const CRASH_AT_S = 7;
const DOWN_S = 5;
const DAY_S = 95;
/** Requests a second of each kind. */
const RATES = { kiosk: 20, guest: 20 };
const DEADLINE_MS = 4000;
const CLIENTS_RETRIES = 1;
/** What a kind must be served, of the share of all requests. */
const LEAST_SHARE = 0.25;

const route = (name) => ({
  name,
  host: HOST,
  pathPrefix: `/${name}/`,
  service: "lm-catalogo",
  routeType: "stream",
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: 400,
  gapTargetMs: 200,
  maxAttempts: 2,
  priority: 0,
  resumable: false,
  sticky: true,
});

const CONFIG = {
  version: 3,
  routes: [route("kiosk"), route("guest")],
  services: [
    {
      name: "lm-catalogo",
      maxConnections: 490,
      healthPath: "/healthz",
      engine: {
        slots: 48,
        kvCapacityTokens: 400_000,
        handleTtlS: 5,
        switchS: 3,
      },
    },
  ],
  limits: LIMITS,
};

const engine = (stage, at) => ({
  service: "lm-catalogo",
  host: `127.0.3.${at + 1}`,
  stage,
  slots: 48,
  workMs: 20,
  events: 40,
  eventMs: 30,
  switchMs: 3000,
});
const ENGINES = ["prefill", "prefill", "decode", "decode", "decode"].map(
  engine,
);

const deployment = new Deployment(path.join(HERE, "record.txt"));
const { store } = deployment;
await store.listen("127.0.0.1");
store.put("config", "main", CONFIG);
const first = [];
for (const options of ENGINES) first.push(await deployment.addReplica(options));
for (let at = 0; at < 2; at += 1) await deployment.addMachine("entry", at);
for (let at = 0; at < 3; at += 1) await deployment.addMachine("scheduler", at);
await deployment.waitUntilReady();
await sleep(4000);
const entries = deployment.machines.filter(({ role }) => role === "entry");
const agent = new http.Agent({ keepAlive: true });

const results = { kiosk: [], guest: [] };

/** One request of a client, with its retry on the other entry. */
const request = async (kind, number) => {
  const until = performance.now() + DEADLINE_MS;
  const isAlike = kind === "kiosk";
  const own = isAlike ? "ab12" : (0x1000 + number).toString(16);
  const body = isAlike ? "does part 4711 fit?" : `question ${number}`;
  const sentS = deployment.now();
  let last;
  for (let tries = 0; tries <= CLIENTS_RETRIES; tries += 1) {
    last = await attempt(agent, entries[(number + tries) % entries.length], {
      method: "POST",
      host: HOST,
      target: `/${kind}/ask`,
      id: newId(kind),
      deadlineMs: until - performance.now(),
      body,
      headers: {
        Model: "m",
        "Token-Count": "100,20",
        "Prefix-Hash": `5c1e07a2:60,${own}:40`,
      },
    });
    const { status, why, retryAfterMs } = last;
    const mayRetry = why === "whole" && [408, 421, 429, 503].includes(status);
    const leftMs = until - performance.now();
    if (!mayRetry || leftMs < 100) break;
    await sleep(Math.min(retryAfterMs, leftMs / 3));
  }
  const served = isServed(last);
  results[kind].push({ sentS, served, status: last.status });
  const note = `${kind} sent ${sentS.toFixed(3)} ${last.id} ${last.entry}`;
  const text = last.why === "whole" && !served ? last.text : "";
  deployment.note(`${note}: ${last.status} ${last.why} ${text}`);
};

const begunS = deployment.now();
const dayS = () => deployment.now() - begunS;
const open = new Set();
let number = 0;
const timers = Object.entries(RATES).map(([kind, perS]) =>
  setInterval(() => {
    number += 1;
    const done = request(kind, number).finally(() => open.delete(done));
    open.add(done);
  }, 1000 / perS),
);

await sleep(CRASH_AT_S * 1000);
if (HAS_TROUBLE) {
  deployment.note("all replicas crash");
  for (const { child } of first) child.kill("SIGKILL");
  await sleep(DOWN_S * 1000);
  deployment.note("the replicas start again");
  for (const [at, options] of ENGINES.entries())
    await deployment.addReplica({ ...options, address: first[at].address });
}
await sleep((DAY_S - dayS()) * 1000);
for (const timer of timers) clearInterval(timer);
await Promise.all(open);

const share = (list) =>
  list.filter(({ served }) => served).length / Math.max(1, list.length);
const all = [...results.kiosk, ...results.guest];
const lateS = begunS + CRASH_AT_S + DOWN_S + 15;
const late = (list) => list.filter(({ sentS }) => sentS >= lateS);
for (const kind of ["kiosk", "guest"]) {
  const list = results[kind];
  deployment.note(
    `${kind}: ${list.length} sent, served ${share(list).toFixed(3)}; ` +
      `sent 15 s after the return or later ${late(list).length}, ` +
      `served ${share(late(list)).toFixed(3)}`,
  );
}
deployment.note(`all: served ${share(all).toFixed(3)}`);
for (const { node, log } of deployment.machines)
  for (const line of log)
    if (line.includes("quarantine") && !line.includes('requestId":"kiosk-'))
      deployment.note(`${node} ${line}`);
const isBroken = Object.values(results).some(
  (list) => share(list) < LEAST_SHARE * share(all),
);
deployment.end(isBroken ? BROKEN : HELD);
