/**
 * Bounds what callers do on the connections of one HTTP server: how many there
 * are, how far ahead requests are sent, and what is held and read for each.
 */
import type http from "node:http";
import type { Socket } from "node:net";

import { CallerExchange } from "./callerExchange.js";
import type { CallerMemory, Holding } from "./callerMemory.js";
import { LoopTurns } from "./loopTurns.js";
import type { CloseReason } from "./types.js";

/** Requests of one connection that are served at the same time. */
const MAX_CONCURRENT = 4;
/**
 * Pauses between two looks at heads and at bodies that have not ended, ms. What
 * heads take is counted at these looks only, and bounded no sooner.
 */
const HEADS_INTERVAL_MS = 50;
const BODIES_INTERVAL_MS = 250;
/** What a head takes while it is read, for each of its first bytes. */
const BYTES_PER_HEAD_BYTE = 20;
const MAX_COUNTED_HEAD_BYTES = 16 * 1024;
/** What a request takes besides its body, and each of its header fields, bytes. */
const REQUEST_BYTES = 4 * 1024;
const FIELD_BYTES = 600;
/** Work of a request and of a header field, as for `LoopTurns`. */
const REQUEST_WORK = 50;
const FIELD_WORK = 0.5;

export interface CallerConnectionsOptions {
  maxConnections: number;
  /** Requests without a complete response on one connection. */
  maxPending: number;
  memory: CallerMemory;
  now: () => number;
  onClosed(reason: CloseReason): void;
}

interface Connection {
  socket: Socket;
  /** Requests without a complete response, in order of arrival. */
  pending: Map<http.ServerResponse, CallerExchange>;
  /** Starts of requests that wait for their turn. */
  waiting: (() => void)[];
  /** How many are served now. */
  active: number;
  /** Requests whose end has not been read. */
  unended: Set<CallerExchange>;
  /** Bytes that had been read when the last request ended. */
  readBefore: number;
  /** What a head that has not ended takes. */
  head: Holding;
}

export class CallerConnections {
  /** Requests without a complete response. */
  inFlight = 0;
  private readonly all = new Map<Socket, Connection>();
  /** Those without a request, the one that has rested for longest first. */
  private readonly resting = new Set<Connection>();
  private readonly turns: LoopTurns;

  constructor(
    server: http.Server,
    private readonly options: CallerConnectionsOptions,
  ) {
    this.turns = new LoopTurns(options.now);
    server.on("connection", (socket: Socket) => this.onConnection(socket));
    const timers = [
      setInterval(() => this.checkHeads(), HEADS_INTERVAL_MS).unref(),
      setInterval(() => this.checkBodies(), BODIES_INTERVAL_MS).unref(),
    ];
    server.on("close", () => timers.forEach(clearInterval));
  }

  /**
   * Serves a request now or when it is its turn on the connection; not at all
   * if the connection is being closed.
   */
  serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    start: (exchange: CallerExchange) => void,
  ): void {
    const { socket } = req;
    const connection = this.all.get(socket);
    if (connection === undefined) return;
    const { pending, waiting } = connection;
    if (pending.size >= this.options.maxPending)
      return this.close(connection, "sent-ahead");
    this.resting.delete(connection);
    const fields = req.rawHeaders.length / 2;
    const work = REQUEST_WORK + fields * FIELD_WORK;
    this.turns.record(socket, work);
    const exchange = new CallerExchange({
      req,
      memory: this.options.memory,
      turns: this.turns,
      now: this.options.now,
      headBytes: REQUEST_BYTES + fields * FIELD_BYTES,
      close: (reason) => this.close(connection, reason),
    });
    this.recordHead(connection, req, exchange);
    // Behind others, its refusal would wait for them, and hold it meanwhile.
    if (exchange.isRefused && pending.size > 0)
      return this.close(connection, "memory");
    pending.set(res, exchange);
    this.inFlight += 1;
    let isStarted = false;
    const run = () => {
      isStarted = true;
      connection.active += 1;
      if (exchange.isRefused) start(exchange);
      else this.turns.start(socket, work, () => start(exchange));
    };
    res.once("close", () => {
      exchange.end();
      pending.delete(res);
      this.inFlight -= 1;
      if (isStarted) connection.active -= 1;
      this.startNext(connection);
    });
    const isNext = connection.active < MAX_CONCURRENT || exchange.isRefused;
    if (isNext) run();
    else waiting.push(run);
  }

  private startNext(connection: Connection): void {
    const { socket, pending, waiting, active } = connection;
    if (socket.destroyed) return;
    if (pending.size === 0) this.resting.add(connection);
    else if (active < MAX_CONCURRENT) waiting.shift()?.();
  }

  private recordHead(
    connection: Connection,
    req: http.IncomingMessage,
    exchange: CallerExchange,
  ): void {
    const { socket, head, unended } = connection;
    unended.add(exchange);
    connection.readBefore = socket.bytesRead;
    req.once("end", () => {
      unended.delete(exchange);
      connection.readBefore = socket.bytesRead;
    });
    head.release();
  }

  private onConnection(socket: Socket): void {
    if (this.all.size >= this.options.maxConnections && !this.makeRoom()) {
      this.options.onClosed("too-many-connections");
      return void socket.destroy();
    }
    const { memory } = this.options;
    const head = memory.hold(() => this.close(connection, "memory"));
    const connection: Connection = {
      socket,
      pending: new Map(),
      waiting: [],
      active: 0,
      unended: new Set(),
      readBefore: 0,
      head,
    };
    this.all.set(socket, connection);
    this.resting.add(connection);
    socket.once("close", () => this.onClosed(connection));
    this.turns.admit(socket);
  }

  private onClosed(connection: Connection): void {
    const { socket, pending, waiting, unended, head } = connection;
    this.remove(connection);
    this.turns.remove(socket);
    head.release();
    // Node tells a request whose response has ended nothing of this.
    for (const exchange of unended) exchange.stopReading();
    waiting.length = 0;
    // Node closes only the response whose turn it is on the connection.
    for (const res of pending.keys()) {
      if (res.socket === null) res.emit("close");
    }
  }

  /**
   * Closes the connection that has rested for longest, or else the oldest one
   * without a request in progress; false if there is none.
   */
  private makeRoom(): boolean {
    const [longest = this.oldestIdle()] = this.resting;
    if (longest === undefined) return false;
    this.close(longest, "too-many-connections");
    return true;
  }

  private oldestIdle(): Connection | undefined {
    for (const connection of this.all.values()) {
      const exchanges = [...connection.pending.values()];
      if (!exchanges.some((item) => item.isInProgress)) return connection;
    }
    return undefined;
  }

  private checkHeads(): void {
    for (const connection of this.all.values())
      if (connection.unended.size === 0) countHead(connection);
  }

  private checkBodies(): void {
    const now = this.options.now();
    for (const connection of this.all.values()) {
      for (const exchange of connection.pending.values())
        exchange.checkBody(now);
    }
  }

  private close(connection: Connection, reason: CloseReason): void {
    if (connection.socket.destroyed) return;
    this.remove(connection);
    this.options.onClosed(reason);
    connection.socket.destroy();
  }

  private remove(connection: Connection): void {
    this.all.delete(connection.socket);
    this.resting.delete(connection);
  }
}

/** Counts a head that has not ended: Node shows it only once it has. */
const countHead = ({ socket, readBefore, head }: Connection): void => {
  const bytes = socket.bytesRead - readBefore;
  if (bytes === 0) return;
  head.set(Math.min(bytes, MAX_COUNTED_HEAD_BYTES) * BYTES_PER_HEAD_BYTE);
};
