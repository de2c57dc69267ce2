/**
 * The holder of the usage duty is cut off while it calls the platform. Its call
 * must not arrive after that of the next holder, with an older fencing token.
 */
import http from "node:http";
import path from "node:path";
import { fileURLToPath } from "node:url";

import {
  BROKEN,
  Deployment,
  HELD,
  LIMITS,
  NOT_RUN,
  sleep,
} from "../lib-2/deployment.mjs";
import { Link } from "../lib-2/link.mjs";

const HERE = path.dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "lm-catalogo";
const CUT_MS = 5500;
const THAW_MS = 300;
const REPORTS_BEFORE = 3;
const AFTER_MS = 12_000;
const MAX_WAIT_MS = 60_000;

const CONFIG = {
  version: 3,
  routes: [],
  services: [
    {
      name: SERVICE,
      maxConnections: 370,
      healthPath: "/healthz",
      engine: {
        slots: 32,
        kvCapacityTokens: 305_000,
        handleTtlS: 5,
        switchS: 3,
      },
    },
  ],
  tenants: [{ name: "huka270", apiKeys: ["key-1"], priority: 0 }],
  limits: LIMITS,
};

const deployment = new Deployment(path.join(HERE, "record.txt"));
const { store } = deployment;

/** Calls as the platform gets them. */
const calls = [];
const cloud = http.createServer((req, res) => {
  const chunks = [];
  req.on("data", (chunk) => chunks.push(chunk));
  req.on("end", () => {
    const body = Buffer.concat(chunks).toString();
    const holder = req.headers["lease-holder"];
    const fence = Number(req.headers["fencing-token"]);
    calls.push({ holder, fence, body, at: performance.now() });
    deployment.note(`platform gets ${req.url} ${holder} ${fence} ${body}`);
    res.writeHead(200, { "Content-Length": 0 });
    res.end();
  });
});
cloud.keepAliveTimeout = 20_000;
await new Promise((resolve) => cloud.listen(0, "127.0.0.2", resolve));
const cloudAddress = `127.0.0.2:${cloud.address().port}`;

await store.listen("127.0.0.1");
store.put("config", "main", CONFIG);
deployment.moreBounds =
  "  reportWindowS: 5\n  usageOff: 0.05\n  usageLateS: 10\n";
deployment.prepare = async (machine) => {
  const toStore = await new Link(store.address).listen("127.0.4.1");
  const toCloud = await new Link(cloudAddress).listen("127.0.4.1");
  machine.store = toStore.address;
  machine.more = `cloud: { address: "${toCloud.address}", duties: ["usage"] }\n`;
  machine.links = { toStore, toCloud };
};
for (let at = 0; at < 4; at += 1)
  await deployment.addReplica({
    service: SERVICE,
    stage: at === 0 ? "prefill" : "decode",
    slots: 32,
  });
for (let at = 0; at < 2; at += 1) await deployment.addMachine("entry", at);
for (let at = 0; at < 3; at += 1) await deployment.addMachine("scheduler", at);
await deployment.waitUntilReady();

const waitFor = async (isDone) => {
  const until = performance.now() + MAX_WAIT_MS;
  while (!isDone()) {
    if (performance.now() > until) deployment.end(NOT_RUN);
    await sleep(5);
  }
};
await waitFor(() => calls.length >= REPORTS_BEFORE);
const holder = calls.at(-1).holder;
const { links } = deployment.machines.find(({ node }) => node === holder);

let healedAt = Infinity;
if (HAS_TROUBLE) {
  // The cut begins once the store's answer to the next report has come.
  let isWritten = false;
  store.onCall = ({ method, kind }) => {
    if (kind === "duties" && method !== "GET") isWritten = true;
    return "serve";
  };
  await new Promise((resolve) => {
    links.toStore.onAnswer = (chunk) => {
      if (!isWritten || !chunk.includes("windowSeq")) return;
      links.toStore.cut();
      links.toCloud.cut();
      links.toStore.onAnswer = () => undefined;
      resolve();
    };
  });
  deployment.note(`${holder} is cut off from the platform`);
  await sleep(CUT_MS);
  links.toStore.heal();
  links.toCloud.heal();
  healedAt = performance.now();
  deployment.note(`the link of ${holder} has healed`);
} else {
  await sleep(CUT_MS);
}
await sleep(AFTER_MS);

let highest = 0;
let stale = 0;
for (const { holder: name, fence, at } of calls) {
  const sinceMs = Math.round(at - healedAt);
  if (fence < highest && !(sinceMs >= 0 && sinceMs <= THAW_MS)) {
    stale += 1;
    deployment.note(
      `call of ${name} with ${fence} after ${highest}, ` +
        `${sinceMs} ms after its link had healed`,
    );
  }
  highest = Math.max(highest, fence);
}
deployment.note(`${calls.length} calls, ${stale} with an older fence`);
deployment.end(stale > 0 ? BROKEN : HELD);
