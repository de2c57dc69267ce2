/** How the end of a replica behind an interrupted response is confirmed. */
import { expect } from "chai";

import type { CallerRequest } from "../../src/gateway/callerRequest.js";
import { ReplicaEndDetector } from "../../src/gateway/replicaEndDetector.js";
import type { ReplicaEndDetectorOptions } from "../../src/gateway/replicaEndDetector.js";
import { ReplicaSet } from "../../src/gateway/replicaSet.js";
import type { ProbeResult } from "../../src/gateway/upstreamClient.js";
import { Cancellation } from "../../src/shared/cancellation.js";
import { DECODE_ENGINE } from "../support/decodeEngine.js";
import { until } from "../support/until.js";

/** Three after the last interruption, and one that had begun before. */
const MAX_PROBES = 4;
/** Longer than the time in which all probes are made, ms. */
const PROBING_MS = 600;

describe("the end of a replica behind an interrupted response", () => {
  const setUp = (found: readonly ProbeResult[]) => {
    const replicas = new ReplicaSet();
    replicas.put(DECODE_ENGINE);
    let probes = 0;
    const client = {
      probe: async () => found[probes++] ?? "listening",
    };
    const detector = new ReplicaEndDetector({
      replicas,
      client,
      log: { info: () => undefined },
      metrics: { count: () => undefined },
      now: () => performance.now(),
    } as unknown as ReplicaEndDetectorOptions);
    const ends: string[] = [];
    detector.onEnd = ({ requests }) =>
      ends.push(...requests.map(({ digest }) => digest));
    const interrupt = (digest: string): void => {
      const cancellation = new Cancellation();
      const caller = { digest, partKeys: [], cancellation };
      detector.track(caller as unknown as CallerRequest, DECODE_ENGINE, "run", {
        kind: "failed",
        verdict: "may-have-run",
        why: "cut",
      });
    };
    return { interrupt, ends, probes: () => probes };
  };

  it("is found though it closes its connections before it stops listening", async () => {
    const { interrupt, ends } = setUp(["listening", "refused"]);
    interrupt("a");
    await until(() => ends.length > 0);
    expect(ends).to.eql(["a"]);
  });

  it("is looked for with few probes, however many responses are interrupted", async () => {
    const { interrupt, ends, probes } = setUp([]);
    for (const digest of ["a", "b", "c", "d", "e"]) interrupt(digest);
    await new Promise((resolve) => setTimeout(resolve, PROBING_MS));
    expect(probes()).to.be.at.most(MAX_PROBES);
    expect(ends).to.eql([]);
  });
});
