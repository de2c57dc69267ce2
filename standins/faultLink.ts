/**
 * A TCP proxy that does harm on command: it delays, holds back, swallows or
 * resets what passes, both ways or one way.
 */
import net from "node:net";
import type { AddressInfo } from "node:net";

import { splitAddress } from "../src/http/index.js";

export const LINK_MODES = [
  "pass",
  /** Bytes arrive later. */
  "delay",
  /** Bytes are held back until the mode is `pass` again. */
  "freeze",
  /** Connections are reset when something passes. */
  "cut",
  /** Bytes are swallowed, both ways. */
  "half-open",
  /** What callers send is swallowed; answers pass. */
  "one-way",
  /** The request passes, the answer is swallowed, the connection reset. */
  "drop-answer",
  /** New connections are reset. */
  "refuse",
] as const;

export type LinkMode = (typeof LINK_MODES)[number];

export interface LinkChange {
  mode: LinkMode;
  delayMs?: number;
  /** Back to `pass` after so many connections were hit; 0: never. */
  hits?: number;
  /** Pieces of an answer to let through before one is dropped. */
  skip?: number;
}

interface Pair {
  client: net.Socket;
  server: net.Socket;
  held: { to: net.Socket; data: Buffer }[];
  /** Pieces of an answer that were let through in this mode. */
  passed: number;
}

export class FaultLink {
  private mode: LinkMode = "pass";
  private delayMs = 0;
  private hits = 0;
  private skip = 0;
  private readonly pairs = new Set<Pair>();
  private readonly server = net.createServer((client) => this.accept(client));
  address = "";

  /** `target`: where connections go; asked for each of them. */
  constructor(private readonly target: () => string) {}

  async start(): Promise<this> {
    await new Promise<void>((done) =>
      this.server.listen(0, "127.0.0.1", () => done()),
    );
    const { port } = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
    return this;
  }

  stop(): void {
    for (const pair of this.pairs) this.reset(pair);
    this.server.close();
  }

  /** Pieces that are delayed or held back. */
  get pendingChunks(): number {
    return [...this.pairs].reduce((sum, { held }) => sum + held.length, 0);
  }

  get connections(): number {
    return this.pairs.size;
  }

  set({ mode, delayMs = 0, hits = 0, skip = 0 }: LinkChange): void {
    Object.assign(this, { mode, delayMs, hits, skip });
    for (const pair of this.pairs) pair.passed = 0;
    if (mode === "cut" && hits === 0) {
      for (const pair of this.pairs) this.reset(pair);
    }
    if (mode === "pass") this.release();
  }

  private release(): void {
    for (const pair of this.pairs) {
      for (const { to, data } of pair.held) to.write(data);
      pair.held = [];
    }
  }

  /** Bytes keep their order: what is delayed goes before what comes later. */
  private releaseFirst(pair: Pair): void {
    if (this.mode === "freeze") return;
    const first = pair.held.shift();
    if (first?.to.destroyed === false) first.to.write(first.data);
  }

  private accept(client: net.Socket): void {
    if (this.mode === "refuse") {
      client.resetAndDestroy();
      return this.count();
    }
    const { host, port } = splitAddress(this.target());
    const server = net.connect(port, host);
    const pair: Pair = { client, server, held: [], passed: 0 };
    this.pairs.add(pair);
    const end = () => {
      client.destroy();
      server.destroy();
      this.pairs.delete(pair);
    };
    const reset = () => this.reset(pair);
    // A reset that follows close behind data shows as a regular end whose
    // peer has no address any more: it must leave as a reset, too.
    const onEnd = (socket: net.Socket) => () =>
      socket.remoteAddress === undefined && reset();
    client.on("data", (data) => this.relay(pair, data, server, false));
    server.on("data", (data) => this.relay(pair, data, client, true));
    for (const socket of [client, server]) {
      socket.prependListener("end", onEnd(socket));
      socket.on("error", reset).on("close", end);
    }
  }

  private relay(
    pair: Pair,
    data: Buffer,
    to: net.Socket,
    isAnswer: boolean,
  ): void {
    switch (this.mode) {
      case "pass":
      case "refuse":
        return void to.write(data);
      case "delay":
        pair.held.push({ to, data });
        return void setTimeout(() => this.releaseFirst(pair), this.delayMs);
      case "freeze":
        return void pair.held.push({ to, data });
      case "cut":
        this.reset(pair);
        return this.count();
      case "half-open":
        return;
      case "one-way":
        return void (isAnswer && to.write(data));
      case "drop-answer":
        if (!isAnswer) return void to.write(data);
        pair.passed += 1;
        if (pair.passed <= this.skip) return void to.write(data);
        this.reset(pair);
        return this.count();
    }
  }

  /** One connection was hit. */
  private count(): void {
    if (this.hits === 0) return;
    this.hits -= 1;
    if (this.hits === 0) this.mode = "pass";
  }

  private reset(pair: Pair): void {
    pair.client.resetAndDestroy();
    pair.server.resetAndDestroy();
    this.pairs.delete(pair);
  }
}
