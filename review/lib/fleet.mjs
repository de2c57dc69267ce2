/**
 * A small deployment: the store stand-in, and entries and schedulers as
 * processes, started with the commands of deploy/system.toml.
 */
import { spawn } from "node:child_process";
import fs from "node:fs";
import http from "node:http";
import os from "node:os";
import path from "node:path";

import { freePort, LOOPBACK, sleep } from "./http.mjs";
import { Store } from "./store.mjs";

const ROOT = path.resolve(import.meta.dirname, "../..");
const COMMANDS = {
  entry: ["node", "--max-old-space-size=160", "target/main.mjs"],
  scheduler: ["node", "--max-old-space-size=96", "target/main.mjs"],
};
const START_TIMEOUT_MS = 20_000;
/** Time for the entries to find the holder of a new lease, ms. */
const SETTLE_MS = 2500;
export const GRACE_S = 8;

/** Bounds of the small deployments. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: GRACE_S,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  skewMaxMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBurst: 54,
  recoverS: 12,
  transitMs: 120,
  retryAfterS: 3.5,
  requireFence: false,
  leaseMs: 3000,
  thawMs: 300,
};

const LIMITS = {
  entry: { cpuShare: 0.513, cores: 1, memoryMb: 350, maxFds: 4200 },
  scheduler: { cpuShare: 0.54, cores: 1, memoryMb: 282, maxFds: 4096 },
};

export class Fleet {
  store = new Store();
  processes = [];
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));

  /** `config`: value of `config/main`. */
  async start({ config, entries = 2, schedulers = 2 }) {
    await this.store.start();
    this.store.put("config", "main", config);
    for (let at = 1; at <= schedulers; at += 1)
      await this.startProcess("scheduler", `side-${at}`);
    for (let at = 1; at <= entries; at += 1)
      await this.startProcess("entry", `front-${at}`);
    await this.#until(() => this.#areReady(), "the entries are not ready");
    return this;
  }

  /** Waits until a scheduler holds the lease, for model services. */
  async placementReady() {
    const hasHolder = async () => this.store.list("leases").length > 0;
    await this.#until(hasHolder, "no scheduler has taken the lease");
    await sleep(SETTLE_MS);
  }

  entries() {
    return this.processes.filter(({ role }) => role === "entry");
  }

  async startProcess(role, node) {
    const ports = { front: await freePort(), ready: await freePort() };
    const peerPort = await freePort();
    const listen =
      role === "entry"
        ? {
            front: `${LOOPBACK}:${ports.front}`,
            ready: `${LOOPBACK}:${ports.ready}`,
          }
        : {};
    const settings = {
      node,
      role,
      machineClass: role === "entry" ? "front" : "side",
      serves: [role === "entry" ? "front" : "side"],
      ip: LOOPBACK,
      zone: "zone-1",
      region: "region-1",
      zones: { "zone-1": "region-1" },
      listen,
      portRange: [peerPort, peerPort],
      seeds: [],
      bootstrap: true,
      limits: { ...LIMITS[role], linkMbps: 1000, diskMb: 0 },
      dataDir: null,
      heartbeatMs: 1200,
      bounds: BOUNDS,
      platform: { address: this.store.address, form: "objects" },
    };
    const file = path.join(this.#folder, `${node}.yaml`);
    // JSON is YAML.
    fs.writeFileSync(file, JSON.stringify(settings, null, 2));
    const log = fs.openSync(path.join(this.#folder, `${node}.log`), "a");
    const [command, ...args] = COMMANDS[role];
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, SNOWGATE_NODE_FILE: file },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    const started = { role, node, child, ...listen };
    child.once("exit", (code, signal) => {
      started.ended = { code, signal };
    });
    this.processes.push(started);
    return started;
  }

  /** What a process has logged so far. */
  logOf(node) {
    return fs.readFileSync(path.join(this.#folder, `${node}.log`), "utf8");
  }

  async stop() {
    for (const { child, ended } of this.processes)
      if (ended === undefined) child.kill("SIGKILL");
    this.store.stop();
    if (process.env.KEEP === "1") console.log(`logs: ${this.#folder}`);
    else fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  async #areReady() {
    const gone = this.processes.find(({ ended }) => ended !== undefined);
    if (gone !== undefined) throw new Error(`${gone.node} has ended`);
    for (const { ready } of this.entries()) {
      if ((await statusOf(ready)) !== 200) return false;
    }
    return true;
  }

  async #until(holds, message) {
    const endsAt = performance.now() + START_TIMEOUT_MS;
    while (!(await holds())) {
      if (performance.now() > endsAt) throw new Error(message);
      await sleep(50);
    }
  }
}

const statusOf = (address) =>
  new Promise((resolve) => {
    const req = http.get(`http://${address}/snowgate/readyz`, (res) => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on("error", () => resolve(0));
  });

const ENGINE = {
  slots: 96,
  kvCapacityTokens: 872000,
  kvTokenBytes: 131072,
  linkMbps: 5900000,
  handleTtlS: 5,
  switchS: 3,
  models: [{ name: "m" }],
};

/** A configuration with one model and one plain service. */
export const newConfig = (routes, slots = ENGINE.slots) => ({
  version: 1,
  routes,
  services: [
    {
      name: "model",
      healthPath: "/healthz",
      maxConnections: 490,
      engine: { ...ENGINE, slots },
    },
    { name: "plain", healthPath: "/healthz", maxConnections: 100 },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
});

/** A replica's own entry in the store. */
export const newReplicaEntry = ({ service, address, slots, stage }) => ({
  service,
  address,
  zone: "zone-1",
  version: "v1",
  slots,
  state: "ready",
  coldRemainingMs: 0,
  stage,
  models: stage && [{ name: "m", version: 1, adapters: [] }],
  seq: 1,
});
