import { expect } from "chai";
import { stringify } from "yaml";

import { exchange } from "../../src/http/index.js";
import { Fleet, OPERATOR_TOKEN } from "../support/fleet.js";
import type { CommandAnswer } from "../support/fleet.js";
import { stopAll } from "../support/processes.js";
import { PLAIN_SERVICE, plainSpec } from "../support/specs.js";
import { until } from "../support/until.js";

describe("promise 9: an accepted configuration holds everywhere, for good", () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await Fleet.start({
      entries: 2,
      services: [PLAIN_SERVICE],
      upstreams: [
        plainSpec("stock-1"),
        plainSpec("stock-2"),
        plainSpec("stock-3"),
      ],
      proxiedStore: true,
    });
  });

  afterEach(stopAll);

  const changed = (deadlineMs: number) => {
    const config = fleet.config();
    for (const item of config.services[0]?.classes ?? []) {
      item.deadlineMs = deadlineMs;
    }
    return stringify(config);
  };

  const apply = async (text: string, entry = 0): Promise<CommandAnswer> => {
    const answer = await exchange({
      method: "POST",
      url: `http://${fleet.entries[entry]?.at.operators}/config`,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      text,
      timeoutMs: 10_000,
    });
    return JSON.parse(answer.text) as CommandAnswer;
  };

  /** Numbers in force at every side, as each says itself. */
  const numbers = async (): Promise<number[]> => {
    const rows = await fleet.rows("show engines");
    return rows.map((row) => Number(row.config));
  };

  const everywhere = (number: number) =>
    until(
      async () => (await numbers()).every((item) => item === number),
      `configuration ${number} everywhere`,
    );

  it("reaches every process", async () => {
    expect((await apply(changed(9000))).text).to.match(/2 accepted/);
    await everywhere(2);
  });

  it("has one winner when two operators race", async () => {
    const answers = await Promise.all([
      apply(changed(8000), 0),
      apply(changed(7000), 1),
    ]);
    const kinds = answers.map((answer) => answer.kind).sort();
    expect(kinds).to.deep.equal(["message", "refused"]);
    const loser = answers.find((answer) => answer.kind === "refused");
    expect(loser?.text).to.include("configuration 2 came first");
    await everywhere(2);
  });

  it("is accepted once when the answer to the write is lost", async () => {
    await fleet.storeFaults({ loseAnswers: 2 });
    expect((await apply(changed(6000))).text).to.match(/2 accepted/);
    await everywhere(2);
  });

  it("does not go back when the store shows an older one", async () => {
    // From here on reads show configuration 1, while 2 is accepted.
    await fleet.storeFaults({ staleReads: true });
    await apply(changed(5000));
    await everywhere(2);
    const { side } = fleet.part("stock-1");
    side.signal("SIGKILL");
    await side.ended;
    await fleet.restartSide("stock-1");
    await everywhere(2);
  });

  it("is what a process starts with in an outage of the store", async () => {
    await apply(changed(4000));
    await everywhere(2);
    await fleet.storeFaults({ down: true });
    const { side } = fleet.part("stock-2");
    side.signal("SIGKILL");
    await side.ended;
    await fleet.restartSide("stock-2");
    const entry = await fleet.addEntry("entry-3");
    await fleet.ready(entry);
    const url = `http://${entry.at.callers}/stock/1`;
    const answer = await exchange({ method: "GET", url, timeoutMs: 5000 });
    expect(answer.status).to.equal(200);
    await fleet.storeFaults({ down: false });
    await everywhere(2);
  });

  it("reaches processes that are cut off from the store", async () => {
    await fleet.proxyMode(fleet.storeProxy, { mode: "refuse" });
    const number = await fleet.apply(fleet.config());
    expect(number).to.equal(2);
    const direct = await fleet.addEntry("entry-direct", {
      objectApi: {
        url: `http://${fleet.objectApi.at.listening}`,
        callsPerSecond: 50,
        timeoutMs: 1000,
      },
    });
    await fleet.ready(direct);
    await everywhere(2);
  });

  it("is refused whole when it is wrong, with the line", async () => {
    const answer = await apply("fleet: {name: x, sites: []}\nservices: []\n");
    expect(answer.kind).to.equal("syntax");
    expect(answer.text).to.match(/configuration:2: services/);
    expect(await numbers()).to.deep.equal([1, 1, 1]);
  });
});
