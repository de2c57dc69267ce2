/**
 * Fault-injecting TCP proxy. `POST /mode` on its admin port sets what
 * happens to bytes in each direction:
 * pass, delay, freeze (held back), cut (connections reset), half-open
 * (swallowed), drop-answer (the request passes, the answer is swallowed and
 * the connection reset), refuse (new connections are reset).
 */
import net from "node:net";
import type { AddressInfo } from "node:net";

import { splitAddress } from "../src/http/index.js";
import { readOptions, reply, serve } from "./support.js";

type Mode =
  "pass" | "delay" | "freeze" | "cut" | "half-open" | "drop-answer" | "refuse";

interface Pair {
  client: net.Socket;
  server: net.Socket;
  held: { to: net.Socket; data: Buffer }[];
  /** Pieces of an answer that were let through in this mode. */
  passed: number;
}

const options = readOptions({ target: "127.0.0.1:1" });
let mode: Mode = "pass";
let delayMs = 0;
/** Pieces of an answer to let through before one is dropped. */
let skip = 0;
/** Back to `pass` after so many connections were hit; 0: never. */
let hits = 0;
const pairs = new Set<Pair>();

const hit = (): void => {
  if (hits === 0) return;
  hits -= 1;
  if (hits === 0) mode = "pass";
};

const destroy = (pair: Pair): void => {
  pair.client.resetAndDestroy();
  pair.server.resetAndDestroy();
  pairs.delete(pair);
};

const relay = (pair: Pair, data: Buffer, to: net.Socket, isAnswer: boolean) => {
  switch (mode) {
    case "pass":
    case "refuse":
      return void to.write(data);
    case "delay":
      return void setTimeout(() => to.destroyed || to.write(data), delayMs);
    case "freeze":
      return void pair.held.push({ to, data });
    case "cut":
      destroy(pair);
      return hit();
    case "half-open":
      return;
    case "drop-answer":
      if (!isAnswer) return void to.write(data);
      pair.passed += 1;
      if (pair.passed <= skip) return void to.write(data);
      destroy(pair);
      return hit();
  }
};

const onConnection = (client: net.Socket): void => {
  if (mode === "refuse") {
    client.resetAndDestroy();
    return hit();
  }
  const { host, port } = splitAddress(options.target);
  const server = net.connect(port, host);
  const pair: Pair = { client, server, held: [], passed: 0 };
  pairs.add(pair);
  const end = () => {
    client.destroy();
    server.destroy();
    pairs.delete(pair);
  };
  client.on("data", (data) => relay(pair, data, server, false));
  server.on("data", (data) => relay(pair, data, client, true));
  client.on("error", end).on("close", end);
  server.on("error", end).on("close", end);
};

interface ModeChange {
  mode: Mode;
  delayMs?: number;
  hits?: number;
  skip?: number;
}

const setMode = (next: ModeChange) => {
  mode = next.mode;
  delayMs = next.delayMs ?? 0;
  hits = next.hits ?? 0;
  skip = next.skip ?? 0;
  for (const pair of pairs) pair.passed = 0;
  if (mode === "cut" && hits === 0) for (const pair of pairs) destroy(pair);
  if (mode !== "pass") return;
  for (const pair of pairs) {
    for (const { to, data } of pair.held) to.write(data);
    pair.held = [];
  }
};

const proxy = net.createServer(onConnection);
await new Promise<void>((done) => proxy.listen(0, "127.0.0.1", done));
const { port } = proxy.address() as AddressInfo;
process.stdout.write(`${JSON.stringify({ proxy: `127.0.0.1:${port}` })}\n`);
await serve(({ res, body }) => {
  setMode(JSON.parse(body.toString("utf8")));
  reply(res, 200, { mode, connections: pairs.size });
});
