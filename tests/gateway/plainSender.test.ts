/** Second sends that won must not eject the replicas of the first ones. */
import { expect } from "chai";

import type { CallerRequest } from "../../src/gateway/callerRequest.js";
import { PlainSender } from "../../src/gateway/plainSender.js";
import type { PlainSenderOptions } from "../../src/gateway/plainSender.js";
import { ReplicaChoice } from "../../src/gateway/replicaChoice.js";
import type { Replica } from "../../src/gateway/types.js";
import { Cancellation } from "../../src/shared/cancellation.js";

const failed = { kind: "failed", verdict: "may-have-run", why: "cancelled" };

describe("the health of a plain replica", () => {
  for (const isOurs of [true, false]) {
    it(`is ${isOurs ? "kept" : "lost"} after ${isOurs ? "cancelled" : "failed"} sends`, async () => {
      const options = {
        client: { refusal: () => undefined, send: async () => failed },
        codec: { upstreamHeaders: () => [] },
        ends: { track: () => undefined },
        now: () => 0,
      } as unknown as PlainSenderOptions;
      const rest = { domain: "", entries: () => 1, rng: () => 0 };
      const sender = new PlainSender(options, new ReplicaChoice(rest));
      const caller = {
        cancellation: new Cancellation(),
        route: { kind: "safe", maxAttempts: 2 },
        sentTo: [],
        recordNotRun: () => undefined,
        head: {},
        body: "",
        leftMs: () => 1,
        markBegun: () => undefined,
      } as unknown as CallerRequest;
      for (let at = 0; at < 3; at += 1) {
        const own = new Cancellation();
        if (isOurs) own.cancel();
        await sender.send(caller, { id: "p" } as Replica, undefined, own);
      }
      expect(sender.isEjected("p")).to.equal(!isOurs);
    });
  }
});
