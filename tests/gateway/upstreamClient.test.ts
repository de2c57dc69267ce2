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

  const refusals = {
    "on a kept connection": async () => {
      const first = send();
      await untilWaiting(1);
      waiting[0]?.end();
      const outcome = await first;
      if (outcome.kind === "reply") outcome.res.resume();
    },
    "on a new connection": async () => undefined,
  };
  for (const [where, prepare] of Object.entries(refusals)) {
    it(`nothing leaves that is refused then, ${where}`, async () => {
      await prepare();
      const before = waiting.length;
      const outcome = await send(new Cancellation(), address, () => "later");
      expect(outcome).to.deep.equal({
        kind: "failed",
        verdict: "not-run",
        why: "later",
        isUnavailable: true,
      });
      // The next one goes, and is the only one that arrives.
      void send();
      await untilWaiting(before + 1);
      expect(waiting).to.have.length(before + 1);
    });
  }

  it("what waited for a connection is looked at when it leaves", async () => {
    client.limitConnections("plain", 1);
    let isWilling = true;
    const refusal = () => (isWilling ? undefined : "it backs off by now");
    const first = send(new Cancellation(), address, refusal);
    const second = send(new Cancellation(), address, refusal);
    await untilWaiting(1);
    isWilling = false;
    waiting[0]?.end();
    const outcome = await first;
    if (outcome.kind === "reply") outcome.res.resume();
    expect(await second).to.include({
      verdict: "not-run",
      isUnavailable: true,
    });
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
