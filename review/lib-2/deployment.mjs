/**
 * A small deployment on loopback addresses: the project's programs with the
 * commands of the deploy file, a stand-in of the store in this process, and
 * replicas as processes of their own.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

import { Store } from "./store.mjs";

export const HEARTBEAT_MS = 1200;
const ENTRY_HEAP = "--max-old-space-size=160";
const SCHEDULER_HEAP = "--max-old-space-size=96";
const PROGRAM = "target/main.mjs";
const READY_WAIT_MS = 20_000;
const PAUSE_CHECK_MS = 20;
/** Shorter pauses are not kept. */
const MIN_PAUSE_MS = 100;
const HERE = path.dirname(fileURLToPath(import.meta.url));
const ROOT = path.resolve(HERE, "../..");

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** A port of a loopback address that is free now. */
export const freePort = (host) =>
  new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const settingsText = (machine) => `node: "${machine.node}"
role: "${machine.role}"
machineClass: "${machine.role === "entry" ? "front" : "side"}"
serves: ["${machine.role === "entry" ? "front" : "side"}"]
ip: "${machine.ip}"
zone: "${machine.zone}"
region: "norte"
zones: { a: "norte", b: "norte", c: "norte" }
listen:
  front: "${machine.ip}:${machine.ports.front}"
  ready: "${machine.ip}:${machine.ports.ready}"
portRange: [${machine.ports.peers}, ${machine.ports.peers}]
seeds: []
bootstrap: ${machine.bootstrap}
limits: { cpuShare: ${machine.cpuShare}, cores: 1, memoryMb: ${machine.memoryMb}, maxFds: 4096, linkMbps: 1000.0, diskMb: 0 }
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: ${HEARTBEAT_MS}
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  skewMaxMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBurst: 56
  recoverS: 12
  transitMs: 120
  retryAfterS: 3
  requireFence: false
  leaseMs: 3000
  thawMs: 300
${machine.moreBounds}platform: { address: "${machine.store}", form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000 }
${machine.more}`;

export class Deployment {
  store = new Store(HEARTBEAT_MS);
  /** Lines added to all settings files. */
  moreSettings = "";
  moreBounds = "";
  /** Changes a machine before it starts. */
  prepare = async () => undefined;
  machines = [];
  replicas = [];
  /** Requests that replicas began to run: id, replica, path and time. */
  runs = [];
  /** Requests that arrived at replicas: id, replica and time. */
  arrivals = [];
  orders = [];
  lines = [];
  /** When this process, and the store in it, stood still: its end and length, ms. */
  pauses = [];
  #children = new Set();
  #startedAt = performance.now();

  constructor(recordFile) {
    this.recordFile = recordFile;
    this.folder = mkdtempSync(path.join(tmpdir(), "snowgate-case-"));
    process.on("exit", () => this.#kill());
    let last = performance.now();
    setInterval(() => {
      const pauseMs = performance.now() - last - PAUSE_CHECK_MS;
      if (pauseMs >= MIN_PAUSE_MS)
        this.pauses.push({ endedAt: Date.now(), pauseMs });
      last = performance.now();
    }, PAUSE_CHECK_MS).unref();
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"])
      process.on(signal, () => process.exit(NOT_RUN));
  }

  /** Seconds since the start. */
  now() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  note(text) {
    this.lines.push(`${this.now().toFixed(3).padStart(8)} ${text}`);
  }

  #kill() {
    for (const child of this.#children) child.kill("SIGKILL");
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Writes the record and ends all processes. */
  end(code) {
    this.note(`exit ${code}`);
    writeFileSync(this.recordFile, `${this.lines.join("\n")}\n`);
    process.exit(code);
  }

  #spawn(args, env, hasChannel = false) {
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ...env },
      stdio: ["ignore", "pipe", "pipe", ...(hasChannel ? ["ipc"] : [])],
    });
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    child.stderr.resume();
    return child;
  }

  writeSettings(machine) {
    writeFileSync(machine.file, settingsText(machine));
  }

  async addMachine(role, at) {
    const ip = `127.0.${role === "entry" ? 1 : 2}.${at + 1}`;
    const machine = {
      node: `${role}-${at + 1}`,
      role,
      ip,
      zone: "abc"[at % 3],
      bootstrap: true,
      more: this.moreSettings,
      moreBounds: this.moreBounds,
      store: this.store.address,
      cpuShare: role === "entry" ? 0.513 : 0.54,
      memoryMb: role === "entry" ? 350 : 282,
      file: path.join(this.folder, `${role}-${at + 1}.yaml`),
      ports: {
        front: await freePort(ip),
        ready: await freePort(ip),
        peers: await freePort(ip),
      },
      log: [],
    };
    this.machines.push(machine);
    await this.prepare(machine);
    this.startMachine(machine);
    return machine;
  }

  startMachine(machine) {
    this.writeSettings(machine);
    const heap = machine.role === "entry" ? ENTRY_HEAP : SCHEDULER_HEAP;
    const env = { SNOWGATE_NODE_FILE: machine.file };
    const child = this.#spawn([heap, PROGRAM], env);
    machine.child = child;
    this.note(`${machine.node} started`);
    createInterface({ input: child.stdout }).on("line", (line) =>
      machine.log.push(line),
    );
    child.once("exit", (code, signal) =>
      this.note(`${machine.node} ended: ${code ?? signal}`),
    );
  }

  /** Starts a new incarnation of a replica at this address. */
  async addReplica(options) {
    const host = options.host ?? `127.0.3.${this.replicas.length + 1}`;
    const address = options.address ?? `${host}:${await freePort(host)}`;
    const id = `i-${Math.floor(Math.random() * 2 ** 48).toString(16)}`;
    const settings = {
      id,
      address,
      store: this.store.address,
      heartbeatMs: HEARTBEAT_MS,
      zone: "a",
      slots: 6,
      workMs: 21,
      ...options,
      address,
    };
    const file = path.join(HERE, "replica.mjs");
    const args = [file, JSON.stringify(settings)];
    const child = this.#spawn(args, {}, true);
    child.once("exit", (code) => {
      if (code === null) return;
      this.note(`the stand-in ${id} failed`);
      this.end(NOT_RUN);
    });
    const replica = { id, address, options, child };
    this.replicas.push(replica);
    createInterface({ input: child.stdout }).on("line", (line) =>
      this.#onReplicaLine(JSON.parse(line)),
    );
    this.note(`replica ${id} of ${options.service} started at ${address}`);
    return replica;
  }

  /** Tells the replicas the store's new address. */
  tellReplicas() {
    for (const { child } of this.replicas)
      if (child.connected) child.send({ store: this.store.address });
  }

  #onReplicaLine(line) {
    const at = this.now();
    if (line.ran !== undefined) this.runs.push({ ...line, at });
    if (line.got !== undefined) this.arrivals.push(line);
    if (line.ordered !== undefined) this.orders.push({ ...line, at });
  }

  isReady(machine) {
    return new Promise((resolve) => {
      const url = `http://${machine.ip}:${machine.ports.ready}/snowgate/readyz`;
      const req = http.get(url, { agent: false, timeout: 1000 }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
    });
  }

  async waitUntilReady() {
    const until = performance.now() + READY_WAIT_MS;
    const entries = this.machines.filter(({ role }) => role === "entry");
    for (const machine of entries) {
      while (!(await this.isReady(machine))) {
        if (performance.now() > until) {
          this.note(`${machine.node} is not ready`);
          this.end(NOT_RUN);
        }
        await sleep(100);
      }
    }
  }
}

/** Limits as the operator's configurations have them. */
export const LIMITS = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** One attempt of a client; resolves with what it has seen. */
export const attempt = (agent, machine, options) =>
  new Promise((resolve) => {
    const { method, host, target, id, deadlineMs, headers = {} } = options;
    const { body = "" } = options;
    const sentAt = performance.now();
    const found = { id, entry: machine.node, status: 0, text: "" };
    let isSettled = false;
    const settle = (why) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      resolve({ ...found, why, tookMs: performance.now() - sentAt });
    };
    const req = http.request({
      agent,
      host: machine.ip,
      port: machine.ports.front,
      method,
      path: target,
      headers: {
        Host: host,
        "Request-Id": id,
        "Deadline-Ms": String(Math.round(deadlineMs)),
        ...headers,
        ...(method === "GET"
          ? {}
          : { "Content-Length": Buffer.byteLength(body) }),
      },
    });
    const timer = setTimeout(() => {
      req.destroy();
      settle("deadline");
    }, deadlineMs + 200);
    req.on("response", (res) => {
      found.status = res.statusCode;
      found.signature = res.headers["server-signature"];
      found.retryAfterMs = Number(res.headers["retry-after"] ?? 0) * 1000;
      res.on("data", (chunk) => (found.text += chunk));
      res.on("error", () => settle("cut"));
      res.on("close", () => settle(res.complete ? "whole" : "cut"));
    });
    req.on("error", (err) => settle(err.code ?? err.message));
    req.end(body);
  });

/** Whether the answer is a whole success of a replica. */
export const isServed = ({ status, why, signature }) =>
  why === "whole" && status >= 200 && status < 300 && signature !== undefined;

let sequence = 0;
export const newId = (prefix) => {
  sequence += 1;
  return `${prefix}-${sequence}`;
};
