/**
 * Measures the processor time of one gateway process under a fixed request rate.
 * The model engines and plain replicas are stand-ins in this process.
 *
 * Usage: node dist/bench/gatewayLoad.js [requests per second] [seconds]
 */
import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import net from "node:net";
import os from "node:os";
import path from "node:path";

import {
  Deployment,
  HOST,
  longPromptHeaders,
} from "../platform/standins/deployment.js";
import { SETTINGS_VARIABLE } from "../platform/names.js";
import { listen, splitAddress } from "../src/http/index.js";
import { cpuMs } from "./lib/cpu.js";

const [rate = 100, seconds = 10] = process.argv.slice(2).map(Number);
const BODY = "x".repeat(18_000);
const PLAIN_SHARE = 0.3;

const deployment = new Deployment();
await deployment.start(
  [
    { id: "p-1", service: "plain" },
    { id: "pre-1", service: "model", stage: "prefill" },
    { id: "dec-1", service: "model", stage: "decode", events: 2 },
  ],
  0,
);
const freePort = async (): Promise<number> => {
  const server = net.createServer();
  const address = await listen(server, "127.0.0.1:0");
  server.close();
  return splitAddress(address).port;
};
const ports = [await freePort(), await freePort(), await freePort()];
const folder = mkdtempSync(path.join(os.tmpdir(), "snowgate-"));
const file = path.join(folder, "settings.yaml");
const [front, ready, peers] = ports;
writeFileSync(
  file,
  `
node: gw
role: entry
ip: 127.0.0.1
zone: zone-1
limits: { cpuShare: 1000, cores: 1 }
listen: { front: "127.0.0.1:${front}", ready: "127.0.0.1:${ready}" }
portRange: [${peers}, ${peers}]
bounds:
  graceS: 2
  leaseMs: 1000
  contactMs: 3000
  retryBudgetRatio: 0.2
  retryBurst: 50
  budgetWindowS: 10
platform: { address: "${deployment.store.address}" }
`,
);
const child = spawn(
  process.execPath,
  [
    ...(process.env.GATEWAY_FLAGS ?? "").split(" ").filter(Boolean),
    "dist/platform/main.js",
  ],
  { env: { ...process.env, [SETTINGS_VARIABLE]: file }, stdio: "ignore" },
);
const gateway = {
  addresses: { callers: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
  stop: async () => undefined,
};
const isReady = async (): Promise<boolean> => {
  try {
    return (await deployment.readiness(gateway)) === 200;
  } catch {
    return false;
  }
};
while (!(await isReady())) await new Promise((done) => setTimeout(done, 20));
const before = cpuMs(child.pid ?? 0);
const counts: Record<string, number> = {};
const pending: Promise<void>[] = [];
for (let sent = 0; sent < rate * seconds; sent += 1) {
  const isPlain = Math.random() < PLAIN_SHARE;
  const call = isPlain
    ? deployment.call("/unsafe/x", {}, { gateway })
    : deployment.call("/resume/x", longPromptHeaders(), {
        body: BODY,
        gateway,
      });
  pending.push(
    call.then(({ status }) => {
      counts[status] = (counts[status] ?? 0) + 1;
    }),
  );
  await new Promise((done) => setTimeout(done, 1000 / rate));
}
await Promise.all(pending);
const usedMs = cpuMs(child.pid ?? 0) - before;
const perRequest = usedMs / (rate * seconds);
console.log(JSON.stringify({ host: HOST, rate, counts, usedMs, perRequest }));
child.kill("SIGTERM");
await new Promise((done) => child.on("close", done));
await deployment.stop();
