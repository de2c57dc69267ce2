/** What is sent to engines for callers whose time is over, or who left. */
import { expect } from "chai";

import { seededRng } from "../../src/shared/rng.js";
import { RateLimits } from "../../src/rateLimits/index.js";
import type { CallerRequest } from "../../src/gateway/callerRequest.js";
import { EngineCalls } from "../../src/gateway/engineCalls.js";
import type { EngineCallsOptions } from "../../src/gateway/engineCalls.js";
import { ReplicaClient } from "../../src/gateway/replicaClient.js";
import type { ReplicaClientOptions } from "../../src/gateway/replicaClient.js";
import { ReplicaSet } from "../../src/gateway/replicaSet.js";
import { Cancellation } from "../../src/shared/cancellation.js";

const setUp = (leftMs: number) => {
  const replicas = new ReplicaSet();
  replicas.put({
    id: "dec-1",
    name: "dec-1",
    startedAt: undefined,
    service: "model",
    address: "10.0.0.1:1",
    domain: "domain-1",
    slots: 1,
    state: "ready",
    stage: "decode",
  });
  const sent: unknown[] = [];
  const upstream = {
    send: async (order: unknown) => {
      sent.push(order);
      return { kind: "failed", verdict: "not-run", why: "test" };
    },
  };
  const now = () => 0;
  const client = new ReplicaClient({
    client: upstream,
    replicas,
    rates: new RateLimits(seededRng(1)),
    now,
  } as unknown as ReplicaClientOptions);
  const codec = { upstreamHeaders: () => [] };
  const ends = { track: () => undefined };
  const calls = new EngineCalls({
    replicas,
    ends,
    quarantine: { refusal: () => undefined },
    client,
    codec,
  } as unknown as EngineCallsOptions);
  const cancellation = new Cancellation();
  const caller = {
    cancellation,
    service: "model",
    leftMs: () => leftMs,
    head: { method: "POST", target: "/" },
    body: Buffer.alloc(0),
    sentTo: [],
  } as unknown as CallerRequest;
  const run = () =>
    calls.send(caller, "dec-1", cancellation, {
      deadlineMs: leftMs,
      phase: "run",
      grantedAt: 0,
    });
  return { run, sent, cancellation, replicas };
};

describe("sends to engines", () => {
  const signals = {
    leaves: { isLeaving: true, backOffMs: undefined },
    "wants callers to back off": { isLeaving: false, backOffMs: 1 },
  };
  for (const [says, signal] of Object.entries(signals)) {
    it(`do not to one that says that it ${says}`, async () => {
      const { run, sent, replicas } = setUp(500);
      replicas.signals.record("dec-1", signal, true, 0);
      const outcome = await run();
      expect(sent).to.deep.equal([]);
      expect(outcome).to.include({ verdict: "not-run", isUnavailable: true });
    });
  }

  it("go out while the caller waits", async () => {
    const { run, sent } = setUp(500);
    await run();
    expect(sent).to.have.length(1);
  });

  it("do not for one whose time is over, though no timer has said so", async () => {
    const { run, sent } = setUp(0);
    expect(await run()).to.include({ kind: "failed", verdict: "not-run" });
    expect(sent).to.have.length(0);
  });

  it("do not for one whose close waited behind the last answer", async () => {
    const { run, sent, cancellation } = setUp(500);
    const outcome = run();
    // Both came in one turn of the event loop; the close is read second.
    cancellation.cancel();
    expect(await outcome).to.include({ kind: "failed", verdict: "not-run" });
    expect(sent).to.have.length(0);
  });
});
