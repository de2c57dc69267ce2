/** Connections to replicas: limits, and whether a failed request may have run. */
import { expect } from "chai";
import http from "node:http";
import type { ServerResponse } from "node:http";

import { listen } from "../../src/http/index.js";
import { UpstreamClient } from "../../src/gateway/upstreamClient.js";
import { Cancellation } from "../../src/shared/cancellation.js";

describe("connections to replicas", () => {
  let server: http.Server;
  let address: string;
  let client: UpstreamClient;
  let connections: number;
  let waiting: ServerResponse[];

  beforeEach(async () => {
    connections = 0;
    waiting = [];
    server = http.createServer((_req, res) => waiting.push(res));
    server.on("connection", () => (connections += 1));
    address = await listen(server, "127.0.0.1:0");
    client = new UpstreamClient();
  });

  afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });

  const send = (
    cancellation = new Cancellation(),
    to = address,
    refusal?: () => string | undefined,
  ) =>
    client.send({
      refusal,
      service: "plain",
      address: to,
      method: "GET",
      target: "/",
      headers: ["Host", "x"],
      body: Buffer.alloc(0),
      cancellation,
    });

  const untilWaiting = async (count: number): Promise<void> => {
    while (waiting.length < count) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  };

  it("stay within the limit while further requests wait", async () => {
    client.limitConnections("plain", 2);
    const sent = [send(), send(), send(), send()];
    for (let done = 0; done < sent.length; done += 1) {
      await untilWaiting(done + 1);
      waiting[done]?.end();
      const outcome = await sent[done];
      if (outcome?.kind === "reply") outcome.res.resume();
    }
    expect(connections).to.be.at.most(2);
  });

  it("report that a request cancelled after it was sent may have run", async () => {
    const cancellation = new Cancellation();
    const sent = send(cancellation);
    await untilWaiting(1);
    cancellation.cancel();
    const outcome = await sent;
    if (outcome.kind === "reply") throw new Error("answered");
    expect(outcome.verdict).to.equal("may-have-run");
  });

  it("report that a request cancelled before it got a connection has not run", async () => {
    client.limitConnections("plain", 1);
    const first = send();
    await untilWaiting(1);
    const cancellation = new Cancellation();
    const second = send(cancellation);
    cancellation.cancel();
    const outcome = await second;
    if (outcome.kind === "reply") throw new Error("answered");
    expect(outcome.verdict).to.equal("not-run");
    waiting[0]?.end();
    await first;
    expect(waiting).to.have.length(1);
  });

  const connectionCases = {
    "on a kept connection": async () => {
      const first = send();
      await untilWaiting(1);
      waiting[0]?.end();
      const outcome = await first;
      if (outcome.kind === "reply") outcome.res.resume();
    },
    "on a new connection": async () => undefined,
  };
  for (const [where, prepare] of Object.entries(connectionCases)) {
    it(`do not send a request that is refused at send time, ${where}`, async () => {
      await prepare();
      const before = waiting.length;
      const outcome = await send(new Cancellation(), address, () => "later");
      expect(outcome).to.deep.equal({
        kind: "failed",
        verdict: "not-run",
        why: "later",
        isUnavailable: true,
      });
      // The next request is sent and is the only one that arrives.
      void send();
      await untilWaiting(before + 1);
      expect(waiting).to.have.length(before + 1);
    });
  }

  it("check for a refusal again when a request that waited for a connection is sent", async () => {
    client.limitConnections("plain", 1);
    let isAvailable = true;
    const refusal = () => (isAvailable ? undefined : "it backs off by now");
    const first = send(new Cancellation(), address, refusal);
    const second = send(new Cancellation(), address, refusal);
    await untilWaiting(1);
    isAvailable = false;
    waiting[0]?.end();
    const outcome = await first;
    if (outcome.kind === "reply") outcome.res.resume();
    expect(await second).to.include({
      verdict: "not-run",
      isUnavailable: true,
    });
    expect(waiting).to.have.length(1);
  });

  it("report that a request whose answer switches protocols may have run, and are closed", async () => {
    const sent = send();
    await untilWaiting(1);
    const socket = waiting[0]?.socket;
    // `once` rejects at the error of a connection that is reset.
    const closed = new Promise((resolve) => socket?.on("close", resolve));
    socket?.on("error", () => undefined);
    const fields = "Connection: Upgrade\r\nUpgrade: other\r\n";
    socket?.write(`HTTP/1.1 101 Switching Protocols\r\n${fields}\r\n`);
    expect(await sent).to.include({ kind: "failed", verdict: "may-have-run" });
    await closed;
  });

  it("report that a request to a port without a listener has not run", async () => {
    const closedServer = http.createServer();
    const unusedAddress = await listen(closedServer, "127.0.0.1:0");
    await new Promise((resolve) => closedServer.close(resolve));
    const outcome = await send(new Cancellation(), unusedAddress);
    if (outcome.kind === "reply") throw new Error("answered");
    expect(outcome.verdict).to.equal("not-run");
  });
});
