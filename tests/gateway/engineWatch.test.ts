/** Probes of engines whose responses are overdue. */
import http from "node:http";
import { expect } from "chai";

import { RateLimits } from "../../src/rateLimits/index.js";
import { seededRng } from "../../src/shared/rng.js";
import { EngineWatch } from "../../src/gateway/engineWatch.js";
import type { EngineActivity } from "../../src/gateway/engineWatch.js";
import type { EngineCallsOptions } from "../../src/gateway/engineCalls.js";
import { ReplicaClient } from "../../src/gateway/replicaClient.js";
import type { ReplicaClientOptions } from "../../src/gateway/replicaClient.js";
import { ReplicaSet } from "../../src/gateway/replicaSet.js";
import { UpstreamClient } from "../../src/gateway/upstreamClient.js";
import { listen } from "../../src/http/index.js";

const PROBE_INTERVAL_MS = 5;

interface Report {
  running: number;
  waiting: number;
}

describe("an engine whose response is overdue", () => {
  let server: http.Server;
  let client: UpstreamClient;
  let reports: (Report | undefined)[];

  beforeEach(() => {
    client = new UpstreamClient();
    server = http.createServer((_req, res) => {
      const report = reports.length > 1 ? reports.shift() : reports[0];
      if (report !== undefined) res.end(JSON.stringify(report));
    });
  });

  afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });

  const probeResult = async (): Promise<EngineActivity> => {
    const address = await listen(server, "127.0.0.1:0");
    const replicas = new ReplicaSet();
    replicas.put({
      id: "pre-1",
      name: "pre-1",
      startedAt: undefined,
      service: "model",
      address,
      domain: "domain-1",
      slots: 1,
      state: "ready",
      stage: "prefill",
    });
    const codec = {
      reportCall: () => ({
        method: "GET",
        target: "/",
        headers: ["Host", address],
        body: Buffer.alloc(0),
      }),
      readReport: (body: string) => JSON.parse(body) as Report,
      readReply: () => ({ requestId: undefined }),
      readSignal: () => ({ isLeaving: false, backOffMs: undefined }),
      unknownHeaders: () => [],
    };
    const watch = new EngineWatch({
      replicas,
      client: new ReplicaClient({
        client,
        replicas,
        rates: new RateLimits(seededRng(1)),
        codec,
        now: () => 0,
      } as unknown as ReplicaClientOptions),
      codec,
    } as unknown as EngineCallsOptions);
    return new Promise((resolve) => {
      watch.start("model", "pre-1", PROBE_INTERVAL_MS, resolve);
    });
  };

  it("is probed again while it works, and reported idle once it has no requests", async () => {
    const busy = { running: 1, waiting: 0 };
    reports = [busy, busy, { running: 0, waiting: 0 }];
    expect(await probeResult()).to.equal("idle");
    expect(reports).to.have.length(1);
  });

  it("is reported silent if it does not answer the probe", async () => {
    reports = [undefined];
    expect(await probeResult()).to.equal("silent");
  });
});
