/**
 * A slow link of one machine: TCP proxies that share one rate for the bytes
 * that the machine sends. What it receives is not limited.
 */
import net from "node:net";
import type { AddressInfo } from "node:net";

import { splitAddress } from "../src/http/index.js";

/** The side of a connection that sends from the machine. */
export type LimitedSide = "client" | "server";

export class SlowLink {
  /** When the last byte accepted so far has left, ms. */
  private freeAt = 0;
  /** Most bytes that waited at once. */
  maxQueuedBytes = 0;
  /** When this process last began to look for data, and the time before, ms. */
  private polledAt = performance.now();
  private polledBefore = this.polledAt;
  private readonly pollTimer = setInterval(() => this.onPoll(), 1);
  /** What happens when the bytes before it have left, in order. */
  private readonly queue: { dueAt: number; deliver: () => void }[] = [];
  private readonly servers: net.Server[] = [];
  private readonly sockets = new Set<net.Socket>();

  constructor(private readonly bytesPerMs: number) {}

  /**
   * Starts a proxy and returns its address. `onQueued` is called for each chunk
   * from the limited side with the bytes that wait then, its own included.
   */
  async proxy(
    target: () => string,
    limited: LimitedSide,
    onQueued: (bytes: number) => void = () => undefined,
  ): Promise<string> {
    const server = net.createServer((client) => {
      const { host, port } = splitAddress(target());
      const upstream = net.connect(port, host);
      const isClient = limited === "client";
      this.relay(client, upstream, isClient ? onQueued : undefined);
      this.relay(upstream, client, isClient ? undefined : onQueued);
    });
    this.servers.push(server);
    await new Promise<void>((done) =>
      server.listen(0, "127.0.0.1", () => done()),
    );
    const { port } = server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  stop(): void {
    clearInterval(this.pollTimer);
    for (const server of this.servers) server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** `onQueued`: undefined if this direction is not limited. */
  private relay(
    from: net.Socket,
    to: net.Socket,
    onQueued: ((bytes: number) => void) | undefined,
  ): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on("data", (data) => {
      if (onQueued === undefined) return void to.write(data);
      const deliver = () => void (!to.destroyed && to.write(data));
      onQueued(this.enqueue(data.length, deliver));
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.sockets.delete(from);
      // Data that is still on the link arrives before the close.
      if (onQueued === undefined) return void to.destroy();
      this.enqueue(0, () => to.destroySoon());
    });
  }

  /**
   * Puts bytes on the link; returns the bytes that wait then. They count from
   * the last time that this process looked for data: what arrived during a
   * pause of this process was not sent at once.
   */
  private enqueue(bytes: number, deliver: () => void): number {
    const startAt = Math.max(this.polledBefore, this.freeAt);
    this.freeAt = startAt + bytes / this.bytesPerMs;
    this.queue.push({ dueAt: this.freeAt, deliver });
    if (this.queue.length === 1) this.awaitFirst();
    const leftMs = Math.max(0, this.freeAt - performance.now());
    const queuedBytes = leftMs * this.bytesPerMs;
    this.maxQueuedBytes = Math.max(this.maxQueuedBytes, queuedBytes);
    return queuedBytes;
  }

  /** Timers run before sockets are read, so the time before counts. */
  private onPoll(): void {
    this.polledBefore = this.polledAt;
    this.polledAt = performance.now();
  }

  /** Delivers in order: timers of different durations may not keep it. */
  private awaitFirst(): void {
    const [first] = this.queue;
    if (first === undefined) return;
    const leftMs = first.dueAt - performance.now();
    setTimeout(() => this.deliverDue(), Math.max(0, leftMs));
  }

  private deliverDue(): void {
    const now = performance.now();
    for (;;) {
      const [first] = this.queue;
      if (first === undefined || first.dueAt > now) break;
      this.queue.shift();
      first.deliver();
    }
    this.awaitFirst();
  }
}
