import { EventEmitter } from "node:events";
import type { Socket } from "node:net";

import { expect } from "chai";

import { LoopTurns } from "../../src/callers/loopTurns.js";

const HEAVY_WORK = 1000;

/** What `LoopTurns` uses of a socket. */
class FakeSocket extends EventEmitter {
  destroyed = false;
  isPaused = false;

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    this.emit("resume");
  }
}

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => setImmediate(resolve));

describe("turns of the event loop", () => {
  let now: number;
  let turns: LoopTurns;

  beforeEach(() => {
    now = 0;
    turns = new LoopTurns(() => now);
  });

  const newSocket = (): FakeSocket => {
    const socket = new FakeSocket();
    turns.admit(socket as unknown as Socket);
    return socket;
  };
  const work = (socket: FakeSocket, amount: number) =>
    turns.record(socket as unknown as Socket, amount);

  it("let a connection with little work be read on", async () => {
    const socket = newSocket();
    work(socket, 100);
    await nextTurn();
    work(socket, 100);
    expect(socket.isPaused).to.equal(false);
  });

  it("keep one with much work paused, though Node resumes it", () => {
    const socket = newSocket();
    work(socket, HEAVY_WORK);
    expect(socket.isPaused).to.equal(true);
    socket.resume();
    expect(socket.isPaused).to.equal(true);
  });

  it("read such connections one at a time", async () => {
    const sockets = [newSocket(), newSocket(), newSocket()];
    for (const socket of sockets) work(socket, HEAVY_WORK);
    await nextTurn();
    expect(sockets.map(({ isPaused }) => isPaused)).to.deep.equal([
      false,
      true,
      true,
    ]);
  });

  it("leave as much time to the rest as the last one took", async () => {
    const sockets = [newSocket(), newSocket(), newSocket()];
    for (const socket of sockets) work(socket, HEAVY_WORK);
    await nextTurn();
    now += 8;
    work(sockets[0]!, HEAVY_WORK);
    await nextTurn();
    now += 7;
    await nextTurn();
    expect(sockets.every(({ isPaused }) => isPaused)).to.equal(true);
  });

  it("let new connections wait behind those, and read them as well", async () => {
    const heavy = [newSocket(), newSocket()];
    for (const socket of heavy) work(socket, HEAVY_WORK);
    const fresh = newSocket();
    expect(fresh.isPaused).to.equal(true);
    await nextTurn();
    expect(fresh.isPaused).to.equal(false);
  });

  it("start requests with much work later, unless their connection closes", async () => {
    const started: string[] = [];
    const [one, other] = [newSocket(), newSocket()];
    const start = (socket: FakeSocket, name: string, amount: number) =>
      turns.start(socket as unknown as Socket, amount, () =>
        started.push(name),
      );
    start(one, "small", 100);
    start(one, "large", HEAVY_WORK);
    start(other, "closed", HEAVY_WORK);
    expect(started).to.deep.equal(["small"]);
    turns.remove(other as unknown as Socket);
    await nextTurn();
    await nextTurn();
    expect(started).to.deep.equal(["small", "large"]);
  });
});
