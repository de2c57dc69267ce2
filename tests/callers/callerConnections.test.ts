/** What a server does with connections and requests beyond its bounds. */
import http from "node:http";
import net from "node:net";
import type { Socket } from "node:net";

import { expect } from "chai";

import { CallerConnections } from "../../src/callers/callerConnections.js";
import { CallerMemory } from "../../src/callers/callerMemory.js";
import {
  BodyTimeoutError,
  NoRoomError,
} from "../../src/callers/callerExchange.js";
import type { CallerExchange } from "../../src/callers/callerExchange.js";
import { monotonicNow } from "../../src/daemon/clock.js";
import { listen } from "../../src/http/index.js";
import { until } from "../support/until.js";

const MAX_BODY_BYTES = 100_000;
const LONG_MS = 60_000;
const HEAD = "POST / HTTP/1.1\r\nHost: h\r\n";
const EMPTY_REQUEST = `${HEAD}Content-Length: 0\r\n\r\n`;

const activeTimers = (): number =>
  process.getActiveResourcesInfo().filter((kind) => kind === "Timeout").length;

type Handler = (
  exchange: CallerExchange,
  res: http.ServerResponse,
) => void | Promise<void>;

describe("connections of callers", () => {
  let server: http.Server;
  let connections: CallerConnections;
  let memory: CallerMemory;
  let address: string;
  let handle: Handler;
  let closed: string[];
  let sockets: Socket[];

  beforeEach(async () => {
    closed = [];
    sockets = [];
    handle = (_exchange, res) => void res.end("ok");
    server = http.createServer((req, res) =>
      connections.serve(req, res, (exchange) => void handle(exchange, res)),
    );
    memory = new CallerMemory(1_000_000, monotonicNow);
    connections = new CallerConnections(server, {
      maxConnections: 3,
      maxPending: 8,
      memory,
      now: monotonicNow,
      onClosed: (reason) => closed.push(reason),
    });
    address = await listen(server, "127.0.0.1:0");
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.closeAllConnections();
    server.close();
  });

  /** A connection, and what it has received. */
  const connect = async (): Promise<{ socket: Socket; text: () => string }> => {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    sockets.push(socket);
    let text = "";
    socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
    socket.on("error", () => undefined);
    await new Promise((resolve) => socket.once("connect", resolve));
    return { socket, text: () => text };
  };

  const answersIn = (text: string): number =>
    text.split("HTTP/1.1 200").length - 1;

  describe("that are too many", () => {
    it("make the one give way that has rested for longest", async () => {
      const [first, second, third] = [
        await connect(),
        await connect(),
        await connect(),
      ];
      first.socket.write(EMPTY_REQUEST);
      await until(() => answersIn(first.text()) === 1);
      const fourth = await connect();
      await until(() => second.socket.destroyed);
      fourth.socket.write(EMPTY_REQUEST);
      await until(() => answersIn(fourth.text()) === 1);
      expect(closed).to.deep.equal(["too-many-connections"]);
      expect(first.socket.destroyed || third.socket.destroyed).to.equal(false);
    });

    it("leave requests in progress alone", async () => {
      handle = async (exchange, res) => {
        await exchange.readBody(MAX_BODY_BYTES, LONG_MS);
        setTimeout(() => res.end("ok"), 100);
      };
      const busy = [await connect(), await connect(), await connect()];
      for (const { socket } of busy) socket.write(EMPTY_REQUEST);
      await until(() => connections.inFlight === 3);
      const extra = await connect();
      await until(() => extra.socket.destroyed);
      await until(() => busy.every(({ text }) => answersIn(text()) === 1));
    });
  });

  describe("with requests sent ahead", () => {
    it("get all answers up to a bound, in order", async () => {
      const { socket, text } = await connect();
      socket.write(EMPTY_REQUEST.repeat(8));
      await until(() => answersIn(text()) === 8);
      expect(closed).to.deep.equal([]);
    });

    it("are closed beyond it", async () => {
      handle = () => undefined;
      const { socket } = await connect();
      socket.write(EMPTY_REQUEST.repeat(9));
      await until(() => socket.destroyed);
      expect(closed).to.deep.equal(["sent-ahead"]);
      await until(() => connections.inFlight === 0);
    });

    it("are served a few at a time", async () => {
      const waiting: http.ServerResponse[] = [];
      handle = (_exchange, res) => void waiting.push(res);
      const { socket, text } = await connect();
      socket.write(EMPTY_REQUEST.repeat(8));
      await until(() => connections.inFlight === 8);
      expect(waiting).to.have.length(4);
      for (let at = 0; at < 8; at += 1) {
        await until(() => waiting.length > at);
        waiting[at]?.end("ok");
      }
      await until(() => answersIn(text()) === 8);
    });
  });

  describe("with a body", () => {
    const failures: unknown[] = [];

    beforeEach(() => {
      failures.length = 0;
      handle = async (exchange, res) => {
        try {
          const body = await exchange.readBody(MAX_BODY_BYTES, 100);
          res.end(`${body.length}`);
        } catch (err) {
          failures.push(err);
          res.writeHead(503).end();
          exchange.discardBody(MAX_BODY_BYTES);
        }
      };
    });

    it("that ends in time are served", async () => {
      const { socket, text } = await connect();
      socket.write(`${HEAD}Content-Length: 3\r\n\r\nabc`);
      await until(() => text().endsWith("3"));
    });

    it("that does not end in time are refused, then closed", async () => {
      const { socket, text } = await connect();
      socket.write(`${HEAD}Content-Length: 3\r\n\r\nab`);
      await until(() => text().startsWith("HTTP/1.1 503"));
      expect(failures[0]).to.be.instanceOf(BodyTimeoutError);
      await until(() => socket.destroyed);
      expect(closed).to.deep.equal(["body-not-ended"]);
    });

    it("that has no room are refused and stay open once it has ended", async () => {
      const running = memory.hold(() => undefined);
      running.set(740_000);
      running.pin();
      const { socket, text } = await connect();
      const body = "x".repeat(MAX_BODY_BYTES);
      socket.write(`${HEAD}Content-Length: ${body.length}\r\n\r\n${body}`);
      await until(() => text().startsWith("HTTP/1.1 503"));
      expect(failures[0]).to.be.instanceOf(NoRoomError);
      running.release();
      socket.write(`${HEAD}Content-Length: 3\r\n\r\nabc`);
      await until(() => text().endsWith("3"));
      expect(closed).to.deep.equal([]);
    });

    it("that goes on without end after a refusal are closed", async () => {
      const { socket, text } = await connect();
      socket.write(`${HEAD}Content-Length: 1000000000\r\n\r\n`);
      const fill = Buffer.alloc(64 * 1024);
      const write = (): void => {
        while (!socket.destroyed && socket.write(fill));
        socket.once("drain", write);
      };
      write();
      await until(() => socket.destroyed);
      expect(text()).to.match(/^HTTP\/1.1 503/);
      expect(closed).to.deep.equal(["body-not-ended"]);
    });
  });

  it("leave no timer behind when they close amid a refused body", async () => {
    let left = 0;
    handle = (exchange, res) => {
      res.socket?.once("close", () => (left += 1));
      res.writeHead(503).end();
      exchange.discardBody(MAX_BODY_BYTES);
    };
    const before = activeTimers();
    for (let client = 1; client <= 20; client += 1) {
      const { socket, text } = await connect();
      socket.write(`${HEAD}Content-Length: 3\r\n\r\nab`);
      await until(() => text().startsWith("HTTP/1.1 503"));
      socket.destroy();
      await until(() => left === client);
    }
    expect(activeTimers()).to.be.below(before + 3);
  });

  it("leave nothing held once they are closed", async () => {
    handle = () => undefined;
    const { socket } = await connect();
    socket.write(EMPTY_REQUEST.repeat(3));
    await until(() => memory.heldBytes > 0);
    socket.destroy();
    await until(() => memory.heldBytes === 0);
  });
});
