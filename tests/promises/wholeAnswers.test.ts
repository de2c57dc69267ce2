import { expect } from "chai";

import { markOf, openStream, post, wholeWords } from "../support/callers.js";
import { Fleet } from "../support/fleet.js";
import { stopAll } from "../support/processes.js";
import {
  engineSpec,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainSpec,
} from "../support/specs.js";
import { until } from "../support/until.js";

interface EngineRecord {
  runs: { requestId: string; from: number; state: string }[];
}

const LONG_TOKENS = 1000;
const TOKENS = 20;

describe("promise 4: every caller gets the whole answer to its own request", () => {
  let fleet: Fleet;
  const ENGINES = ["parts-1", "parts-2"];

  before(async () => {
    fleet = await Fleet.start({
      entries: 1,
      services: [MODEL_SERVICE, PLAIN_SERVICE],
      upstreams: [
        ...ENGINES.map((id) => engineSpec(id)),
        plainSpec("stock-1"),
        plainSpec("stock-2"),
      ],
    });
  });

  after(stopAll);

  const onEngines = (faults: object) =>
    Promise.all(ENGINES.map((id) => fleet.faults(id, faults)));

  const runs = async () => {
    const records = await Promise.all(
      ENGINES.map((id) => fleet.record<EngineRecord>(id)),
    );
    return records.flatMap((record) => record.runs);
  };

  const stream = (prompt: string) =>
    openStream(fleet.entryUrl(), prompt, TOKENS).ended;

  describe("streams", () => {
    it("discards a crossed stream and asks elsewhere", async () => {
      await fleet.faults("parts-1", { cross: 2 });
      await fleet.faults("parts-2", { cross: 0 });
      const prompts = ["a", "b", "c"];
      const all = await Promise.all(prompts.map(stream));
      for (const [at, told] of all.entries()) {
        expect([...told.marks]).to.deep.equal([markOf(prompts[at] ?? "")]);
        expect(told.words).to.deep.equal(wholeWords(TOKENS));
        expect(told.isWhole).to.equal(true);
      }
    });

    it("goes on elsewhere after a cut, no token lost or doubled", async () => {
      await onEngines({ cross: 0, cut: 1, cutAfter: 7 });
      const told = await stream("cut in the middle");
      expect([...told.marks]).to.deep.equal([markOf("cut in the middle")]);
      expect(told.words).to.deep.equal(wholeWords(TOKENS));
      expect(told.isWhole).to.equal(true);
      const resumed = (await runs()).filter((run) => run.from > 0);
      expect(resumed.length).to.be.greaterThan(0);
    });

    it("drops events that come twice", async () => {
      await onEngines({ cut: 0, duplicate: 1 });
      const told = await stream("twice");
      expect(told.words).to.deep.equal(wholeWords(TOKENS));
    });

    it("tells the caller when every upstream cuts the stream", async () => {
      await onEngines({ duplicate: 0, cut: 100, cutAfter: 0 });
      const told = await stream("cut everywhere");
      expect(told.isWhole).to.equal(false);
      expect(told.error ?? told.status).to.be.oneOf([
        "cut",
        "no_upstream",
        503,
      ]);
      await onEngines({ cut: 0 });
    });

    it("cancels at the engine when the caller goes away", async () => {
      await until(async () => (await stream("back")).isWhole);
      const known = new Set((await runs()).map((run) => run.requestId));
      // Still running when the caller goes, yet never too long for the time
      // that callers give: a busy machine shows engines that are slow.
      const open = openStream(fleet.entryUrl(), "leaving", LONG_TOKENS);
      await open.begun;
      open.hangUp();
      await until(async () => {
        const fresh = (await runs()).filter((run) => !known.has(run.requestId));
        return fresh.length === 1 && fresh[0]?.state === "cancelled";
      });
    });
  });

  describe("whole answers", () => {
    for (const fault of ["cross", "cut"] as const) {
      it(`never shows a caller one that is ${fault}`, async () => {
        await fleet.faults("stock-1", { [fault]: 3 });
        const answers = await Promise.all(
          Array.from({ length: 8 }, (_item, at) =>
            post(`${fleet.entryUrl()}/stock/${at}`, { at }),
          ),
        );
        answers.forEach((told, at) => {
          expect(told.status).to.equal(200);
          const body = JSON.parse(told.body) as { echo: string };
          expect(JSON.parse(body.echo)).to.deep.equal({ at });
        });
      });
    }
  });
});
