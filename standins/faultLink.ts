/**
 * TCP proxy with fault injection: it delays, holds, drops or resets traffic,
 * in one or both directions.
 */
import net from "node:net";
import type { AddressInfo } from "node:net";

import { splitAddress } from "../src/http/index.js";

export const LINK_MODES = [
  "pass",
  /** Data is forwarded after `delayMs`. */
  "delay",
  /** Data is held until the mode is `pass` again. */
  "freeze",
  /** Connections are reset on the next data; without `hits`, also at once. */
  "cut",
  /** Data is dropped in both directions. */
  "half-open",
  /** Data from clients is dropped; responses pass. */
  "one-way",
  /** Requests pass; the response is dropped and the connection reset. */
  "drop-answer",
  /** New connections are reset. */
  "refuse",
] as const;

export type LinkMode = (typeof LINK_MODES)[number];

export interface LinkChange {
  mode: LinkMode;
  delayMs?: number;
  /** Number of faults after which the mode returns to `pass`; 0: never. */
  hits?: number;
  /** Chunks of a response that pass before one is dropped. */
  skip?: number;
}

interface SocketPair {
  client: net.Socket;
  server: net.Socket;
  pending: { to: net.Socket; data: Buffer }[];
  /** Response chunks counted in `drop-answer` since the mode was set. */
  passedChunks: number;
  /** Whether all data of the pair is dropped from now on. */
  isSilent: boolean;
  /** Whether data was dropped, after which no regular end can follow. */
  hasLostData: boolean;
}

export class FaultLink {
  private mode: LinkMode = "pass";
  private delayMs = 0;
  private hits = 0;
  private skip = 0;
  private readonly pairs = new Set<SocketPair>();
  private readonly server = net.createServer((client) => this.accept(client));
  address = "";

  /** `target` returns the upstream address; called for each connection. */
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

  /** Refuses new connections; open ones stay. */
  stopListening(): void {
    this.server.close();
  }

  /** Number of chunks that are delayed or held. */
  get pendingChunks(): number {
    return [...this.pairs].reduce(
      (sum, { pending }) => sum + pending.length,
      0,
    );
  }

  get connections(): number {
    return this.pairs.size;
  }

  set({ mode, delayMs = 0, hits = 0, skip = 0 }: LinkChange): void {
    Object.assign(this, { mode, delayMs, hits, skip });
    for (const pair of this.pairs) pair.passedChunks = 0;
    if (mode === "cut" && hits === 0) {
      for (const pair of this.pairs) this.reset(pair);
    }
    if (mode === "pass") this.release();
  }

  /** Drops all data of the open connections for good; new ones work. */
  silenceConnections(): void {
    for (const pair of this.pairs) {
      pair.isSilent = true;
      pair.hasLostData ||= pair.pending.length > 0;
      pair.pending = [];
    }
  }

  private release(): void {
    for (const pair of this.pairs) {
      for (const { to, data } of pair.pending) to.write(data);
      pair.pending = [];
    }
  }

  /** Forwards the oldest chunk, so that delayed data keeps its order. */
  private releaseOldest(pair: SocketPair): void {
    if (this.mode === "freeze") return;
    const first = pair.pending.shift();
    if (first?.to.destroyed === false) first.to.write(first.data);
  }

  private accept(client: net.Socket): void {
    if (this.mode === "refuse") {
      client.resetAndDestroy();
      return this.countHit();
    }
    const { host, port } = splitAddress(this.target());
    const server = net.connect(port, host);
    const pair: SocketPair = {
      client,
      server,
      pending: [],
      passedChunks: 0,
      isSilent: false,
      hasLostData: false,
    };
    this.pairs.add(pair);
    const end = () => {
      if (pair.hasLostData || pair.pending.length > 0) return this.reset(pair);
      client.destroy();
      server.destroy();
      this.pairs.delete(pair);
    };
    const reset = () => this.reset(pair);
    // A reset that arrives right after data is reported as a regular end, but
    // the socket has no remote address any more. It is forwarded as a reset.
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
    pair: SocketPair,
    data: Buffer,
    to: net.Socket,
    isAnswer: boolean,
  ): void {
    if (pair.isSilent) return void (pair.hasLostData = true);
    switch (this.mode) {
      case "pass":
      case "refuse":
        return void to.write(data);
      case "delay":
        pair.pending.push({ to, data });
        return void setTimeout(() => this.releaseOldest(pair), this.delayMs);
      case "freeze":
        return void pair.pending.push({ to, data });
      case "cut":
        this.reset(pair);
        return this.countHit();
      case "half-open":
        return void (pair.hasLostData = true);
      case "one-way":
        if (isAnswer) return void to.write(data);
        return void (pair.hasLostData = true);
      case "drop-answer":
        if (!isAnswer) return void to.write(data);
        pair.passedChunks += 1;
        if (pair.passedChunks <= this.skip) return void to.write(data);
        this.reset(pair);
        return this.countHit();
    }
  }

  /** Counts a fault; after the last of `hits`, the mode returns to `pass`. */
  private countHit(): void {
    if (this.hits === 0) return;
    this.hits -= 1;
    if (this.hits === 0) this.mode = "pass";
  }

  private reset(pair: SocketPair): void {
    pair.client.resetAndDestroy();
    pair.server.resetAndDestroy();
    this.pairs.delete(pair);
  }
}
