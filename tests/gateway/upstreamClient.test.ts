/** Connections to replicas: bounds, and what is proved when a send fails. */
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

  const send = (cancellation = new Cancellation(), to = address) =>
    client.send({
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

  it("are no more than allowed; further requests wait", async () => {
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

  it("a request that was sent and cancelled may have run", async () => {
    const cancellation = new Cancellation();
    const sent = send(cancellation);
    await untilWaiting(1);
    cancellation.cancel();
    const outcome = await sent;
    if (outcome.kind === "reply") throw new Error("answered");
    expect(outcome.verdict).to.equal("may-have-run");
  });

  it("a request that found no connection has not run", async () => {
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

  it("a port where nobody listens: has not run", async () => {
    const free = http.createServer();
    const nobody = await listen(free, "127.0.0.1:0");
    await new Promise((resolve) => free.close(resolve));
    const outcome = await send(new Cancellation(), nobody);
    if (outcome.kind === "reply") throw new Error("answered");
    expect(outcome.verdict).to.equal("not-run");
  });
});
