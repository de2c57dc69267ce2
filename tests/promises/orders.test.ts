import { expect } from "chai";

import { PeerLink } from "../../src/peers/index.js";
import { Fleet, SECRET } from "../support/fleet.js";
import { stopAll } from "../support/processes.js";
import { engineSpec, MODEL_SERVICE } from "../support/specs.js";
import { until } from "../support/until.js";

interface EngineRecord {
  orders: { action: { kind: string; value?: string }; clash: boolean }[];
}

const SERVICE = { ...MODEL_SERVICE, roles: { automatic: false } };

describe("promise 1: an engine never holds two conflicting orders", () => {
  let fleet: Fleet;
  const link = new PeerLink(SECRET);

  const engines = () => [
    engineSpec("racing"),
    engineSpec("twice"),
    engineSpec("engine-dies"),
    engineSpec("side-dies", { options: { orderMs: 1500 } }),
    engineSpec("answer-lost"),
    engineSpec("two-sides"),
    engineSpec("ignores-fence", { options: { checksFence: false } }),
  ];

  before(async () => {
    fleet = await Fleet.start({
      entries: 2,
      services: [SERVICE],
      upstreams: engines(),
    });
  });

  after(async () => {
    link.close();
    await stopAll();
  });

  const ordersOf = async (id: string) =>
    (await fleet.record<EngineRecord>(id)).orders;

  const expectOneOrder = async (id: string, value: string) => {
    const orders = await ordersOf(id);
    expect(orders.map((order) => order.action.value)).to.deep.equal([value]);
    expect(orders.some((order) => order.clash)).to.equal(false);
  };

  describe("operators race", () => {
    it("has one winner, and tells the loser what won", async () => {
      const answers = await Promise.all([
        fleet.command("role racing to decode", 0),
        fleet.command("role racing to prefill", 1),
      ]);
      const kinds = answers.map((answer) => answer.kind).sort();
      expect(kinds).to.deep.equal(["message", "refused"]);
      const loser = answers.find((answer) => answer.kind === "refused");
      expect(loser?.text).to.match(/order 1 of racing \(role (dec|pre)/);
      await fleet.orderFinished("racing");
      expect(await ordersOf("racing")).to.have.length(1);
    });
  });

  describe("the same order is hinted at many times", () => {
    it("runs once", async () => {
      const peer = fleet.part("twice").side.at.peers ?? "";
      await fleet.command("role twice to decode");
      const hint = { upstream: "twice", seq: 1 };
      await Promise.all([1, 2, 3, 4, 5].map(() => link.nudge(peer, hint)));
      await fleet.orderFinished("twice");
      await fleet.command("role twice to decode");
      await expectOneOrder("twice", "decode");
      const [row] = await fleet.rows("show engines where upstream = twice");
      expect(row?.state).to.equal("open");
    });
  });

  describe("the engine dies in mid-order", () => {
    it("gets the order again once it is back", async () => {
      await fleet.faults("engine-dies", { dieInOrder: true });
      const { standin } = fleet.part("engine-dies");
      await fleet.command("role engine-dies to decode");
      await standin.ended;
      await fleet.restartStandin("engine-dies");
      expect(await fleet.orderFinished("engine-dies")).to.match(/done$/);
      await expectOneOrder("engine-dies", "decode");
    });
  });

  describe("the side dies in mid-order", () => {
    it("is finished by the side that replaces it, without a second order", async () => {
      await fleet.command("role side-dies to prefill");
      await until(async () => (await ordersOf("side-dies")).length === 1);
      const { side } = fleet.part("side-dies");
      side.signal("SIGKILL");
      await side.ended;
      await fleet.restartSide("side-dies");
      expect(await fleet.orderFinished("side-dies")).to.match(/done$/);
      await expectOneOrder("side-dies", "prefill");
    });
  });

  describe("the answer to an order is lost", () => {
    it("asks the engine in place of sending again", async () => {
      await fleet.faults("answer-lost", { loseOrderAnswers: 1 });
      await fleet.command("role answer-lost to decode");
      expect(await fleet.orderFinished("answer-lost")).to.match(/done$/);
      await expectOneOrder("answer-lost", "decode");
    });
  });

  for (const id of ["two-sides", "ignores-fence"]) {
    describe(`a second side claims the engine (${id})`, () => {
      it("leaves the first without authority", async () => {
        const part = fleet.part(id);
        const target = part.standin.at.listening ?? "";
        const first = part.side;
        await fleet.startSide(part.spec, target);
        await fleet.command(`role ${id} to decode`);
        await fleet.orderFinished(id);
        await until(() => first.output().includes("another side has claimed"));
        await expectOneOrder(id, "decode");
      });
    });
  }
});
