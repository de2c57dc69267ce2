/**
 * Stand-in for a model replica. It behaves as the protocol page says; a case
 * changes what it does by the hooks.
 */
import http from "node:http";

import { newReplicaEntry } from "./fleet.mjs";
import { listen, readBody, sendJson, sleep } from "./http.mjs";

const SLOTS = 96;
const QUEUED = 2;
const SWITCH_MS = 3000;
const READ_MS = 10;
const REPORT = "/snowgate/report";
const HANDLE = "/snowgate/kv-handle/";

export class Engine {
  /** Requests that it began to run: id, and whether the run has ended. */
  runs = [];
  /** Answers sent to requests of clients, reads included. */
  answers = 0;
  address = "";
  #running = 0;
  /** Runs that wait for a slot. */
  #queue = [];
  #orders = 0;
  #isBusy = false;
  #handles = 0;
  #sockets = new Set();
  #server = http.createServer((req, res) => void this.#serve(req, res));

  /**
   * `slots`: runs at once; it queues a few more and refuses what is beyond.
   * `onRefused(run)`: called for each run that it refuses as full.
   * `write(res, run)`: sends the answer of a run; a short stream by default.
   */
  constructor(
    store,
    id,
    stage,
    { slots = SLOTS, onRefused, write, beforeAnswer } = {},
  ) {
    this.store = store;
    this.id = id;
    this.stage = stage;
    this.slots = slots;
    this.onRefused = onRefused ?? (() => undefined);
    this.write = write ?? writeStream;
    this.beforeAnswer = beforeAnswer ?? (() => undefined);
    this.#server.keepAliveTimeout = 30_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  async start() {
    this.address = await listen(this.#server);
    this.register();
    return this;
  }

  stop() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  register() {
    const { address, stage, slots } = this;
    const entry = { service: "model", address, slots, stage };
    this.store.put("servers", this.id, newReplicaEntry(entry));
  }

  async #serve(req, res) {
    const body = await readBody(req).catch(() => undefined);
    if (body === undefined) return;
    const { headers, url = "/" } = req;
    const target = headers["target-instance"];
    const id = headers["request-id"];
    const named = id === undefined ? {} : { "Request-Id": id };
    if (target !== undefined && target !== this.id) {
      const instance = { "Instance-Id": this.id };
      return sendJson(res, 421, {}, { ...named, ...instance });
    }
    if (url === REPORT) return sendJson(res, 200, this.#report());
    if (url === "/snowgate/kv-list")
      return sendJson(res, 200, { epoch: "e", nextToken: 1, held: [] });
    if (url.startsWith(HANDLE)) return sendJson(res, 200, {});
    if (url === "/snowgate/order") return this.#order(JSON.parse(body), res);
    await this.#request(req, res, named);
  }

  #report() {
    return {
      stage: this.stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: this.#isBusy,
      seq: this.#orders,
      waiting: this.#queue.length,
      running: this.#running,
      kvUsed: 0,
      kvTotal: 872000,
      handles: 0,
    };
  }

  #order(order, res) {
    if (order.expectedRev !== undefined && order.expectedRev !== this.#orders)
      return sendJson(res, 409, {});
    if (this.#isBusy) return sendJson(res, 409, {});
    if (order.stage === this.stage) return sendJson(res, 200, {});
    this.#orders += 1;
    this.#isBusy = true;
    sendJson(res, 202, {});
    setTimeout(() => {
      this.#isBusy = false;
      this.stage = order.stage;
      this.register();
    }, SWITCH_MS).unref();
  }

  get #isFull() {
    const isQueueFull = this.#queue.length >= QUEUED;
    return this.#running >= this.slots && isQueueFull;
  }

  async #request(req, res, named) {
    const { headers } = req;
    const isRead = headers.stage === "prefill";
    const run = {
      id: headers["request-id"],
      target: req.url,
      socket: req.socket,
      lastEventId: Number(headers["last-event-id"] ?? 0),
      named,
      engine: this.id,
    };
    this.beforeAnswer(this, run, isRead);
    this.answers += 1;
    if (isRead !== (this.stage === "prefill"))
      return sendJson(res, 421, {}, named);
    const notRun = { ...named, "Not-Executed": "1" };
    if (this.#isBusy) return sendJson(res, 503, {}, notRun);
    if (!isRead && this.#isFull) {
      this.onRefused(run);
      return sendJson(res, 503, {}, notRun);
    }
    if (isRead) {
      await sleep(READ_MS);
      this.#handles += 1;
      const kvHandle = `${this.id}${this.#handles.toString(16)}`;
      return sendJson(res, 200, { kvHandle, tokens: 1, version: 1 }, named);
    }
    if (this.#running >= this.slots)
      await new Promise((resolve) => this.#queue.push(resolve));
    this.runs.push(run);
    this.#running += 1;
    res.once("close", () => {
      this.#running -= 1;
      this.#queue.shift()?.();
      run.isCut = !res.writableFinished;
    });
    await this.write(res, run);
  }
}

export const streamHead = ({ named, engine }) => ({
  ...named,
  "Server-Signature": `signed.${engine}`,
  "Weight-Versions": "1",
  "Content-Type": "text/event-stream",
});

const EVENTS = 5;
const EVENT_GAP_MS = 20;

export const writeStream = async (res, run) => {
  res.writeHead(200, streamHead(run));
  for (let id = run.lastEventId + 1; id <= EVENTS; id += 1) {
    await sleep(EVENT_GAP_MS);
    if (res.destroyed) return;
    res.write(`id: ${id}\ndata: ${run.id} ${id}\n\n`);
  }
  res.end();
};
