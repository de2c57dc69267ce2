/**
 * Program: a crowd of clients of one kind that ignore what a server asks of
 * them, each on a connection of its own that it opens again once it is closed.
 * Takes `CrowdOptions` as JSON and runs until its time is over.
 */
import net from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

import { splitAddress } from "../src/http/index.js";

/** How each client of a crowd behaves. */
export type ClientKind =
  | "large-body"
  | "stopped-body"
  | "body-in-pieces"
  | "body-in-chunks"
  | "body-over-length"
  | "body-over-chunks"
  | "slow-body"
  | "short-fields"
  | "stopped-fields"
  | "fields-at-once"
  | "slow-head"
  | "sent-ahead"
  | "unread-answer"
  | "slow-reader"
  | "silent";

/** What a crowd sends its requests to. */
export interface CrowdTarget {
  method: string;
  path: string;
  /** Of each request; "#" stands for the number of the client. */
  headers: Record<string, string>;
}

export interface CrowdOptions {
  kind: ClientKind;
  address: string;
  target: CrowdTarget;
  connections: number;
  seconds: number;
  maxBodyBytes: number;
  maxHeaderBytes: number;
}

const PIECE_BYTES = 100;
const BLOCK_BYTES = 64 * 1024;
/** Length of a body that exceeds each limit. */
const ENDLESS_BYTES = 10 ** 9;
const SLOW_GAP_MS = 250;
const RECONNECT_MS = 20;
/** Clients that begin together, and the pause until the next do, ms. */
const CLIENTS_PER_STEP = 10;
const STEP_MS = 1;

const { kind, address, target, connections, seconds, ...limits } = JSON.parse(
  process.argv[2] ?? "{}",
) as CrowdOptions;

const BLOCK = Buffer.alloc(BLOCK_BYTES, "x");
const TINY_CHUNK = "1\r\nx\r\n";
const TINY_CHUNKS = Buffer.from(
  TINY_CHUNK.repeat(Math.floor(BLOCK_BYTES / TINY_CHUNK.length)),
);
const CHUNK = Buffer.concat([
  Buffer.from(`${BLOCK_BYTES.toString(16)}\r\n`),
  BLOCK,
  Buffer.from("\r\n"),
]);
const LAST_CHUNK = Buffer.from("0\r\n\r\n");
const CHUNKED = "Transfer-Encoding: chunked";
const EMPTY = "Content-Length: 0";
const SHORT_FIELD = "a:b\r\n";
const BODY = Buffer.alloc(limits.maxBodyBytes, "x");

function* repeat(bytes: Buffer, times = Infinity): Generator<Buffer> {
  for (let at = 0; at < times; at += 1) yield bytes;
}

function* bytewise(bytes: Buffer): Generator<Buffer> {
  for (let at = 0; at < bytes.length; at += 1) yield bytes.subarray(at, at + 1);
}

function* inSequence(...parts: Iterable<Buffer>[]): Generator<Buffer> {
  for (const part of parts) yield* part;
}

/** Head of a request of the client with this number, which replaces "#". */
const headOf = (client: number, framing: string): Buffer => {
  const fields = Object.entries(target.headers).map((item) => item.join(": "));
  const first = `${target.method} ${target.path} HTTP/1.1`;
  const lines = [first, ...fields, framing, "", ""];
  return Buffer.from(lines.join("\r\n").replaceAll("#", String(client)));
};

/** The largest head that the limits allow, of fields as short as possible. */
const shortFields = (client: number): Buffer => {
  const rest = limits.maxHeaderBytes - headOf(client, EMPTY).length;
  const count = Math.floor(rest / SHORT_FIELD.length);
  return headOf(client, `${SHORT_FIELD.repeat(count)}${EMPTY}`);
};

/** One request behind the other, in blocks. */
const endlessly = (request: Buffer): Iterable<Buffer> => {
  const times = Math.ceil(BLOCK_BYTES / request.length);
  return repeat(Buffer.concat([...repeat(request, times)]));
};

/** What a client writes. */
const writesOf = (client: number): Iterable<Buffer> => {
  const head = headOf(client, `Content-Length: ${BODY.length}`);
  const chunkedHead = headOf(client, CHUNKED);
  const request = headOf(client, EMPTY);
  switch (kind) {
    case "large-body":
      return [head, BODY];
    case "stopped-body":
      return [head, BODY.subarray(1)];
    case "body-in-pieces": {
      const piece = BODY.subarray(0, PIECE_BYTES);
      return inSequence([head], repeat(piece, BODY.length / PIECE_BYTES));
    }
    case "body-in-chunks": {
      const times = (BODY.length * TINY_CHUNK.length) / TINY_CHUNKS.length;
      const chunks = repeat(TINY_CHUNKS, Math.floor(times));
      return inSequence([chunkedHead], chunks, [LAST_CHUNK]);
    }
    case "body-over-length": {
      const endless = headOf(client, `Content-Length: ${ENDLESS_BYTES}`);
      return inSequence([endless], repeat(BLOCK));
    }
    case "body-over-chunks":
      return inSequence([chunkedHead], repeat(CHUNK));
    case "slow-body":
      return inSequence([head], bytewise(BODY));
    case "short-fields":
      return endlessly(shortFields(client));
    case "stopped-fields":
    case "fields-at-once":
      return [shortFields(client).subarray(0, -2)];
    case "slow-head":
      return bytewise(request);
    case "sent-ahead":
      return endlessly(request);
    case "unread-answer":
    case "slow-reader":
      return [request];
    case "silent":
      return [];
  }
};

const IS_SLOW_WRITER = kind === "slow-body" || kind === "slow-head";
const UNREAD: readonly ClientKind[] = [
  "short-fields",
  "sent-ahead",
  "unread-answer",
];

const endsAt = Date.now() + seconds * 1000;
let closes = 0;
/** When clients that begin together send what they send. */
const beginsAt = Date.now() + (seconds * 1000) / 2;

const writeAll = async (socket: Socket, client: number): Promise<void> => {
  for (const bytes of writesOf(client)) {
    if (socket.destroyed) return;
    if (!socket.write(bytes)) {
      await new Promise<void>((resolve) => {
        socket.once("drain", resolve);
        socket.once("close", () => resolve());
      });
    }
    if (IS_SLOW_WRITER) await sleep(SLOW_GAP_MS);
  }
};

const connect = (client: number): void => {
  if (Date.now() > endsAt) return;
  const { host, port } = splitAddress(address);
  const socket = net.connect({ host, port, noDelay: true });
  socket.on("error", () => undefined);
  socket.on("close", () => {
    closes += 1;
    setTimeout(() => connect(client), RECONNECT_MS);
  });
  if (!UNREAD.includes(kind)) socket.on("data", () => undefined);
  if (kind === "slow-reader") {
    socket.on("data", () => {
      socket.pause();
      setTimeout(() => socket.resume(), SLOW_GAP_MS);
    });
  }
  socket.once("connect", () => {
    if (kind !== "fields-at-once") return void writeAll(socket, client);
    const waitMs = Math.max(0, beginsAt - Date.now());
    setTimeout(() => void writeAll(socket, client), waitMs);
  });
};

process.stdout.write(`${JSON.stringify({ crowd: address })}\n`);
for (let client = 0; client < connections; client += 1) {
  connect(client);
  if (client % CLIENTS_PER_STEP === 0) await sleep(STEP_MS);
}
await sleep(Math.max(0, endsAt - Date.now()));
process.stdout.write(`${JSON.stringify({ message: "over", closes })}\n`);
process.exit(0);
