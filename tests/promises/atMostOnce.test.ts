import { expect } from "chai";

import { post, reserve } from "../support/callers.js";
import { Fleet } from "../support/fleet.js";
import { stopAll } from "../support/processes.js";
import { PLAIN_SERVICE, plainSpec } from "../support/specs.js";
import { until } from "../support/until.js";

interface PlainRecord {
  runs: { key: string; requestId: string }[];
}

describe("promise 6: a never-repeat request runs at most once", () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await Fleet.start({
      entries: 2,
      services: [PLAIN_SERVICE],
      upstreams: [plainSpec("stock-1"), plainSpec("stock-2")],
    });
  });

  afterEach(stopAll);

  const runsOf = async (key: string): Promise<number> => {
    const ids = [...fleet.upstreams.keys()];
    const records = await Promise.all(
      ids.map((id) => fleet.record<PlainRecord>(id)),
    );
    const runs = records.flatMap((record) => record.runs);
    return runs.filter((run) => run.key === key).length;
  };

  const everywhere = (faults: object) =>
    Promise.all(
      [...fleet.upstreams.keys()].map((id) => fleet.faults(id, faults)),
    );

  const repeat = (key: string) => reserve(fleet.entryUrl(1), key);

  it("gives a repeat of the key the kept answer", async () => {
    const first = await reserve(fleet.entryUrl(0), "kept");
    const second = await repeat("kept");
    expect([first.status, second.status]).to.deep.equal([200, 200]);
    expect(second.replayed).to.equal(true);
    expect(second.body).to.equal(first.body);
    expect(await runsOf("kept")).to.equal(1);
  });

  it("refuses the key for another body", async () => {
    await reserve(fleet.entryUrl(0), "mixed-up", "4711");
    const other = await reserve(fleet.entryUrl(1), "mixed-up", "4712");
    expect([other.status, other.verdict]).to.deep.equal([422, "not-run"]);
  });

  it("refuses a reservation without a key", async () => {
    const told = await post(`${fleet.entryUrl()}/reservations`, {});
    expect([told.status, told.verdict]).to.deep.equal([400, "not-run"]);
  });

  it("has one run when both entries get the key at once", async () => {
    const keys = Array.from({ length: 10 }, (_item, at) => `both-${at}`);
    for (const key of keys) {
      const first = () => reserve(fleet.entryUrl(0), key);
      await Promise.all([first(), first(), repeat(key), repeat(key)]);
      expect(await runsOf(key), key).to.equal(1);
    }
  });

  describe("a process dies while the request runs", () => {
    for (const victim of ["entry", "side"] as const) {
      it(`${victim} killed`, async () => {
        await everywhere({ delayMs: 1500 });
        const first = reserve(fleet.entryUrl(0), victim);
        await until(async () => (await runsOf(victim)) === 1);
        if (victim === "entry") fleet.entries[0]?.signal("SIGKILL");
        else
          for (const { side } of fleet.upstreams.values())
            side.signal("SIGKILL");
        const told = await first;
        expect(told.status).to.not.equal(200);
        expect(told.verdict).to.not.equal("not-run");
        const again = await repeat(victim);
        expect([again.status, again.verdict]).to.deep.equal([
          409,
          "may-have-run",
        ]);
        expect(await runsOf(victim)).to.equal(1);
      });
    }
  });

  it("is not sent again when the upstream ran and never answered", async () => {
    await everywhere({ dropAfterRun: 10 });
    const told = await reserve(fleet.entryUrl(0), "dropped");
    expect(told.verdict).to.equal("may-have-run");
    const again = await repeat("dropped");
    expect([again.status, again.verdict]).to.deep.equal([409, "may-have-run"]);
    expect(await runsOf("dropped")).to.equal(1);
  });

  it("is refused, not run, while the object API is down", async () => {
    await fleet.storeFaults({ down: true });
    const told = await reserve(fleet.entryUrl(0), "down");
    expect([told.status, told.verdict]).to.deep.equal([503, "not-run"]);
    expect(await runsOf("down")).to.equal(0);
    await fleet.storeFaults({ down: false });
    await until(async () => (await repeat("down")).status === 200);
    expect(await runsOf("down")).to.equal(1);
  });

  it("runs once when the claim's answer is lost", async () => {
    await fleet.storeFaults({ loseAnswers: 1 });
    const told = await reserve(fleet.entryUrl(0), "lost");
    expect(told.status).to.equal(200);
    expect((await repeat("lost")).replayed).to.equal(true);
    expect(await runsOf("lost")).to.equal(1);
  });
});
