import { expect } from "chai";

import { exchange } from "../../src/http/index.js";
import { openStream, post, wholeWords } from "../support/callers.js";
import type { OpenStream } from "../support/callers.js";
import { Fleet } from "../support/fleet.js";
import { stopAll } from "../support/processes.js";
import { engineSpec, MODEL_SERVICE } from "../support/specs.js";
import { until } from "../support/until.js";

interface EngineRecord {
  runs: { state: string }[];
}

const TOKENS = 120;
const STREAMS = 12;
const SERVICE = { ...MODEL_SERVICE, roles: { automatic: false } };
const SITES = [
  { name: "bilbao", region: "norte", domain: "norte-a" },
  { name: "oviedo", region: "norte", domain: "norte-b" },
];

/** Whether an entry has begun to stop. */
const isLeaving = async (fleet: Fleet, at: number): Promise<boolean> => {
  const url = `${fleet.entryUrl(at)}/readyz`;
  const answer = await exchange({ method: "GET", url, timeoutMs: 1000 });
  return answer.status === 503;
};

/** Planned changes that happen while every stream is open. */
const CHANGES: {
  name: string;
  perform: (fleet: Fleet) => Promise<unknown>;
}[] = [
  {
    name: "drain of an engine",
    perform: (fleet) => fleet.command("drain parts-1"),
  },
  {
    name: "role change of an engine",
    perform: async (fleet) => {
      await fleet.command("role parts-1 to decode");
      await fleet.orderFinished("parts-1");
    },
  },
  {
    name: "load of a model version",
    perform: (fleet) => fleet.command("load model parts-8b@2 on parts-1"),
  },
  {
    name: "cutover to the other site",
    perform: (fleet) =>
      fleet.command("cutover parts-model to oviedo share 100"),
  },
  {
    name: "SIGTERM of a side",
    perform: async (fleet) => {
      const { side } = fleet.part("parts-1");
      side.signal("SIGTERM");
      expect(await side.ended).to.equal(0);
    },
  },
  {
    name: "SIGTERM of an entry, twice",
    perform: async (fleet) => {
      const [entry] = fleet.entries;
      entry?.signal("SIGTERM");
      await until(() => isLeaving(fleet, 0));
      entry?.signal("SIGTERM");
      expect(await entry?.ended).to.equal(0);
    },
  },
  {
    name: "SIGTERM of an entry and a side together",
    perform: async (fleet) => {
      const [entry] = fleet.entries;
      const { side } = fleet.part("parts-2");
      entry?.signal("SIGTERM");
      side.signal("SIGTERM");
      expect(await Promise.all([entry?.ended, side.ended])).to.deep.equal([
        0, 0,
      ]);
    },
  },
];

describe("promises 2 and 8: a planned change cuts nothing off", () => {
  for (const { name, perform } of CHANGES) {
    describe(name, () => {
      let fleet: Fleet;

      before(async () => {
        fleet = await Fleet.start({
          entries: 2,
          entry: { lameDuckMs: 500 },
          sites: SITES,
          services: [SERVICE],
          upstreams: [
            engineSpec("parts-1", { options: { stepMs: 8 } }),
            engineSpec("parts-2", { options: { stepMs: 8 }, site: "oviedo" }),
          ],
        });
      });

      after(stopAll);

      it("lets every open stream end whole", async () => {
        const streams: OpenStream[] = [];
        for (let index = 0; index < STREAMS; index += 1) {
          const url = fleet.entryUrl(index % 2);
          const urgency = { "x-snowgate-class": "lookup" };
          streams.push(openStream(url, `log ${index}`, TOKENS, urgency));
        }
        await Promise.all(streams.map((stream) => stream.begun));
        const change = perform(fleet);
        const told = await Promise.all(streams.map((stream) => stream.ended));
        await change;
        for (const stream of told) {
          expect(stream.error).to.equal(undefined);
          expect(stream.words).to.deep.equal(wholeWords(TOKENS));
          expect(stream.isWhole).to.equal(true);
        }
        // A stream that was cut and resumed would look whole to its caller.
        for (const id of ["parts-1", "parts-2"]) {
          const { runs } = await fleet.record<EngineRecord>(id);
          const states = new Set(runs.map((run) => run.state));
          expect([...states]).to.deep.equal(["done"]);
        }
      });

      it("is followed by new requests that are answered", async () => {
        const url = `${fleet.entryUrl(1)}/v1/chat/completions`;
        const body = { model: "parts-8b", messages: [{ content: "next" }] };
        await until(async () => (await post(url, body)).status === 200);
      });
    });
  }
});
