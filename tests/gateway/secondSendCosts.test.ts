/**
 * Second sends that must not be sent took permits from rate-limited replicas,
 * or were sent after the deadline.
 */
import { expect } from "chai";

import type { CallerRequest } from "../../src/gateway/callerRequest.js";
import { PlainFlow } from "../../src/gateway/plainFlow.js";
import type { PlainFlowOptions } from "../../src/gateway/plainFlow.js";
import { Cancellation } from "../../src/shared/cancellation.js";

const SLOW_MS = 60;
const failed = { kind: "failed", verdict: "may-have-run", why: "cut" };

/** A flow whose sends fail after a while; the route's answers take 1 ms. */
const newFlow = (mayRetry: boolean, hasRoom: boolean) => {
  const counts = { permits: 0, sends: 0 };
  /** The counts when the first send ended, before any retry. */
  const atFirstEnd: (typeof counts)[] = [];
  const replicas = ["a", "b"].map((id) => ({ id, domain: "", slots: 1 }));
  const flow = new PlainFlow({
    replicas: {
      usable: () => replicas,
      signals: { refusal: () => undefined, untilAvailableMs: () => 0 },
    },
    client: {
      refusal: () => undefined,
      send: () => {
        counts.sends += 1;
        return new Promise((resolve) =>
          setTimeout(() => {
            if (atFirstEnd.length === 0) atFirstEnd.push({ ...counts });
            resolve(failed);
          }, SLOW_MS),
        );
      },
    },
    codec: { upstreamHeaders: () => [] },
    ends: { track: () => undefined },
    quarantine: { refusal: () => undefined },
    budgets: {
      hasRetry: () => mayRetry,
      acquire: () => (mayRetry ? { settle: () => undefined } : undefined),
    },
    link: { mayRepeat: () => hasRoom },
    rates: { isLimited: () => true },
    permits: {
      acquire: async () => {
        counts.permits += 1;
        return { kind: "acquired" };
      },
    },
    log: { info: () => undefined },
    metrics: { count: () => undefined },
    entries: () => 1,
    rng: () => 0,
    domain: "",
    now: () => performance.now(),
  } as unknown as PlainFlowOptions);
  const { times } = (
    flow as unknown as {
      secondSends: { times: { record(route: string, ms: number): void } };
    }
  ).secondSends;
  for (let at = 0; at < 20; at += 1) times.record("r", 1);
  return { flow, atFirstEnd };
};

const newCaller = (leftMs: number) =>
  ({
    cancellation: new Cancellation(),
    route: { name: "r", kind: "safe", maxAttempts: 2, objectiveMs: 10_000 },
    service: "s",
    sentTo: [],
    recordNotRun: () => undefined,
    head: {},
    body: "",
    leftMs: () => leftMs,
    elapsedMs: () => 0,
    markBegun: () => undefined,
    fail: () => undefined,
  }) as unknown as CallerRequest;

describe("a second send of a slow request", () => {
  const inTime = { mayRetry: true, hasRoom: true, leftMs: 1000 };
  const cases = [
    { title: "is sent in time", ...inTime, sends: 2, permits: 2 },
    { title: "needs a retry budget", ...inTime, mayRetry: false },
    { title: "needs room on the link", ...inTime, hasRoom: false },
    { title: "is not sent after the deadline", ...inTime, leftMs: 0 },
  ];
  for (const { title, mayRetry, hasRoom, leftMs, ...expected } of cases) {
    it(title, async () => {
      const { flow, atFirstEnd } = newFlow(mayRetry, hasRoom);
      await flow.run(newCaller(leftMs));
      expect(atFirstEnd).to.eql([{ sends: 1, permits: 1, ...expected }]);
    });
  }
});
