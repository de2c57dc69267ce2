/**
 * The proxy that does harm in tests and in the soak. Once a stream came through
 * it as pieces 1, 2, 3, 40, 4: where its delay ended, what came later overtook
 * what was still delayed, which no TCP connection does. The record showed the
 * link of that replica heal 9 ms before the stream ended.
 */
import { expect } from "chai";
import net from "node:net";
import type { AddressInfo } from "node:net";

import { splitAddress } from "../src/http/index.js";
import { FaultLink } from "../standins/faultLink.js";

/** Longer than the test waits for the first piece to have reached the link. */
const DELAY_MS = 200;

describe("a link that does harm", () => {
  let server: net.Server;
  let link: FaultLink;
  let received: string;

  beforeEach(async () => {
    received = "";
    server = net.createServer((socket) => {
      socket.on("data", (data) => (received += data.toString()));
      socket.on("error", () => undefined);
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    link = await new FaultLink(() => `127.0.0.1:${port}`).start();
  });

  afterEach(() => {
    link.stop();
    server.close();
  });

  const connect = async (): Promise<net.Socket> => {
    const { host, port } = splitAddress(link.address);
    const socket = net.connect(port, host);
    await new Promise((done) => socket.once("connect", done));
    return socket;
  };
  const turn = () => new Promise((done) => setTimeout(done, 10));
  const untilAll = async (length: number): Promise<void> => {
    while (received.length < length) await turn();
  };

  it("keeps the order of bytes where a delay ends", async () => {
    const socket = await connect();
    link.set({ mode: "delay", delayMs: DELAY_MS });
    socket.write("first ");
    while (link.pendingChunks === 0) await turn();
    link.set({ mode: "pass" });
    socket.write("second");
    await untilAll("first second".length);
    expect(received).to.equal("first second");
    socket.destroy();
  });

  it("keeps what a freeze after a delay holds back", async () => {
    const socket = await connect();
    link.set({ mode: "delay", delayMs: 1 });
    socket.write("first ");
    await untilAll("first ".length);
    link.set({ mode: "freeze" });
    socket.write("second");
    while (link.pendingChunks === 0) await turn();
    expect(received).to.equal("first ");
    link.set({ mode: "pass" });
    await untilAll("first second".length);
    expect(received).to.equal("first second");
    socket.destroy();
  });
});
