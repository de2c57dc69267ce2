/**
 * No request is sent to an engine that is unavailable, or for a caller that has
 * disconnected or whose deadline has passed.
 */
import { expect } from "chai";

import { seededRng } from "../../src/shared/rng.js";
import { RateLimits } from "../../src/rateLimits/index.js";
import type { CallerRequest } from "../../src/gateway/callerRequest.js";
import { EngineCalls } from "../../src/gateway/engineCalls.js";
import type { EngineCallsOptions } from "../../src/gateway/engineCalls.js";
import { ReplicaClient } from "../../src/gateway/replicaClient.js";
import type { ReplicaClientOptions } from "../../src/gateway/replicaClient.js";
import { ReplicaSet } from "../../src/gateway/replicaSet.js";
import type { UpstreamRequest } from "../../src/gateway/upstreamClient.js";
import { Cancellation } from "../../src/shared/cancellation.js";
import { DECODE_ENGINE } from "../support/decodeEngine.js";

const setUp = (leftMs: number) => {
  const replicas = new ReplicaSet();
  replicas.put(DECODE_ENGINE);
  const sent: unknown[] = [];
  const upstream = {
    send: async (order: UpstreamRequest) => {
      const why = order.refusal?.();
      if (why === undefined) sent.push(order);
      return { kind: "failed", verdict: "not-run", why: why ?? "test" };
    },
  };
  const clock = { now: 0 };
  const now = () => clock.now;
  const rates = new RateLimits(seededRng(1));
  const metrics = { count: () => undefined };
  const client = new ReplicaClient({
    client: upstream,
    replicas,
    rates,
    metrics,
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
    recordNotRun: () => undefined,
  } as unknown as CallerRequest;
  const run = (grantedAt = 0) =>
    calls.send(caller, "dec-1", cancellation, {
      deadlineMs: leftMs,
      phase: "run",
      grantedAt,
    });
  return { run, sent, cancellation, replicas, rates, clock };
};

describe("requests to engines", () => {
  const signals = {
    "is leaving": { isLeaving: true, backOffMs: undefined },
    "asks callers to back off": { isLeaving: false, backOffMs: 1 },
  };
  for (const [behavior, signal] of Object.entries(signals)) {
    it(`are not sent to an engine that ${behavior}`, async () => {
      const { run, sent, replicas } = setUp(500);
      replicas.signals.record("dec-1", signal, true, 0);
      const outcome = await run();
      expect(sent).to.deep.equal([]);
      expect(outcome).to.include({ verdict: "not-run", isUnavailable: true });
    });
  }

  it("are sent while the caller waits", async () => {
    const { run, sent } = setUp(500);
    await run();
    expect(sent).to.have.length(1);
  });

  it("are not sent after the caller's deadline, even if its timer has not fired", async () => {
    const { run, sent } = setUp(0);
    expect(await run()).to.include({ kind: "failed", verdict: "not-run" });
    expect(sent).to.have.length(0);
  });

  it("are not sent if the caller's disconnect is handled after the previous response", async () => {
    const { run, sent, cancellation } = setUp(500);
    const outcome = run();
    // Both arrive in one turn of the event loop; the disconnect is handled second.
    cancellation.cancel();
    expect(await outcome).to.include({ kind: "failed", verdict: "not-run" });
    expect(sent).to.have.length(0);
  });

  describe("to an engine whose rate limit falls", () => {
    const setUpFall = (perS: number) => {
      const all = setUp(500);
      const announce = (limitPerS: number) =>
        all.rates.recordAnswer(
          "dec-1",
          { perS: limitPerS, mayEnd: true, sentAt: all.clock.now },
          all.clock.now,
        );
      announce(12);
      all.clock.now = 1000;
      announce(perS);
      all.clock.now = 1010;
      return all;
    };

    it("are not sent with a permit of the higher limit", async () => {
      const { run, sent } = setUpFall(0.1);
      await run(900);
      expect(sent).to.have.length(0);
    });

    it("are sent with a permit of the lower limit", async () => {
      const { run, sent } = setUpFall(0.1);
      await run(1005);
      expect(sent).to.have.length(1);
    });

    it("are sent with an earlier permit if it fell only a little", async () => {
      const { run, sent } = setUpFall(10);
      await run(900);
      expect(sent).to.have.length(1);
    });
  });
});
