/** Entries and the holder of a lease over their own protocol, on loopback. */
import { expect } from "chai";

import { RateLimits } from "../../src/rateLimits/index.js";
import type { RateNews } from "../../src/rateLimits/index.js";
import { seededRng } from "../../src/shared/rng.js";
import { PlacementClient } from "../../src/placement/placementClient.js";
import { LocalPlacement, PlacementServer } from "../../src/placement/index.js";
import type {
  EngineView,
  Grant,
  PlacementRequest,
} from "../../src/scheduling/index.js";
import type { Log } from "../../src/telemetry/index.js";
import { until } from "../support/until.js";

const SILENT: Log = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  debug: () => undefined,
};
const SERVICE = "model";
const now = () => performance.now();

const engine = (id: string, stage: EngineView["stage"]): EngineView => ({
  id,
  stage,
  domain: "one",
  slots: 1,
  kvCapacityTokens: 100_000,
});
const ENGINES = [engine("reader", "prefill"), engine("runner", "decode")];

const ask = (id: string): PlacementRequest => ({
  id,
  service: SERVICE,
  route: "lookup",
  domain: "one",
  model: "m",
  promptTokens: 100,
  outputTokens: 10,
  mostOutputTokens: 10,
  parts: [],
  objectiveLeftMs: 20_000,
  deadlineLeftMs: 20_000,
  answerLeftMs: 20_000,
  priority: 0,
  isReturn: false,
  avoid: [],
  unavailable: [],
});

const HELD: Grant = {
  kind: "granted",
  reader: undefined,
  runner: "runner",
  donor: undefined,
  readMs: 0,
  waitedMs: 0,
  ageMs: 0,
};

describe("placing through the holder", () => {
  let local: LocalPlacement;
  let server: PlacementServer;
  let address: string;
  let clients: PlacementClient[];
  let leaving: string[];
  let rates: RateLimits;

  beforeEach(async () => {
    rates = new RateLimits(seededRng(1));
    clients = [];
    leaving = [];
    local = new LocalPlacement({
      engines: () => ENGINES,
      sharingProcesses: () => 1,
      permits: rates,
      log: SILENT,
      now,
    });
    server = new PlacementServer({
      placement: local,
      isEntry: false,
      isHolder: () => true,
      isFresh: () => true,
      leaseVersion: () => undefined,
      configUpdate: () => undefined,
      onEngineLeaving: (engine) => leaving.push(engine),
      onUsage: () => undefined,
      rates: () => rates.activeLimits(now()),
      onRate: (news) => rates.applyUpdate(news, now()),
      acquirePermit: (replica) => {
        if (replica === "unheard") throw new Error("thrown on purpose");
        return rates.acquire(replica, now())
          ? { kind: "acquired" }
          : { kind: "held-back", waitMs: 250.5 };
      },
      log: SILENT,
    });
    address = await server.listen("127.0.0.1:0");
  });

  afterEach(() => {
    for (const client of clients) client.close();
    server.close();
    local.close();
  });

  const connect = async (
    onRates: (news: readonly RateNews[]) => void = () => undefined,
    clientNow = now,
  ): Promise<PlacementClient> => {
    let isAccepted = false;
    const client = new PlacementClient({
      service: SERVICE,
      address,
      isStandby: false,
      onAccepted: () => (isAccepted = true),
      onDisconnected: () => undefined,
      onState: () => undefined,
      onConfig: () => undefined,
      onRates,
      log: SILENT,
      now: clientNow,
      leaseNow: clientNow,
    });
    clients.push(client);
    await until(() => isAccepted, "the holder accepts");
    return client;
  };

  /** Runs one request to its end, so that the pace of ends is known. */
  const runOne = async (entry: PlacementClient): Promise<void> => {
    expect((await entry.place(ask("one")))?.kind).to.equal("granted");
    entry.reportEvent({ kind: "ended", id: "one", ok: true, firstEventMs: 5 });
    await until(() => runs() === 0, "the run ends");
  };

  const runs = (): number =>
    local
      .scheduler(SERVICE)
      .engineStates()
      .reduce((sum, { runCount }) => sum + runCount, 0);

  describe("age of a grant", () => {
    let stallMs: number;
    const stalledNow = () => now() + stallMs;
    beforeEach(() => (stallMs = 0));

    it("includes a stall of the entry before it reads the grant", async () => {
      const entry = await connect(undefined, stalledNow);
      const answer = entry.place(ask("one"));
      stallMs = 3000;
      expect(await answer).to.include({ kind: "granted" });
      expect(((await answer) as Grant).ageMs).to.be.at.least(3000);
    });

    it("excludes the time the ask was queued at the holder", async () => {
      const other = await connect();
      await runOne(other);
      await other.place(ask("first"));
      const entry = await connect(undefined, stalledNow);
      const answer = entry.place(ask("second"));
      await new Promise((resolve) => setTimeout(resolve, 200));
      other.reportEvent({
        kind: "ended",
        id: "first",
        ok: true,
        firstEventMs: 5,
      });
      expect(((await answer) as Grant).ageMs).to.be.below(150);
    });
  });

  /*
   * A throw while a call is handled ends the stream, with the asks of all
   * other requests; told again to the next holder, as entries do, the same
   * ask ends that stream too.
   */
  for (const tell of ["ask", "held"] as const) {
    it(`goes on after a call that its decisions throw on: ${tell}`, async () => {
      const entry = await connect();
      const scheduler = local.scheduler(SERVICE);
      const { place, adoptGrant: adopt } = scheduler;
      scheduler.place = (given, at) => {
        if (given.route === "bad") throw new Error("thrown on purpose");
        return place.call(scheduler, given, at);
      };
      scheduler.adoptGrant = (given, ...rest) => {
        if (given.route === "bad") throw new Error("thrown on purpose");
        return adopt.call(scheduler, given, ...rest);
      };
      const bad = { ...ask("bad"), route: "bad" };
      if (tell === "held") entry.reportHeldGrant(bad, HELD, false);
      else expect((await entry.place(bad))?.kind).to.equal("refused");
      expect((await entry.place(ask("good")))?.kind).to.equal("granted");
    });
  }

  it("hears of engines that leave, and places on", async () => {
    const entry = await connect();
    entry.reportEvent({ kind: "leaving", id: "", engine: "runner" });
    expect((await entry.place(ask("next")))?.kind).to.equal("granted");
    expect(leaving).to.deep.equal(["runner"]);
  });

  it("gives permits for replicas that nobody places on", async () => {
    const entry = await connect();
    const free = await entry.requestPermit("p-1");
    expect(free).to.deep.equal({ kind: "acquired" });
    entry.sendRates([{ replica: "p-1", perS: 2, endedAgoMs: undefined }]);
    const held = await entry.requestPermit("p-1");
    expect(held).to.deep.equal({ kind: "held-back", waitMs: 251 });
  });

  it("answers no ask for a permit that it throws on, and goes on", async () => {
    const entry = await connect();
    expect(await entry.requestPermit("unheard")).to.equal(undefined);
    expect((await entry.place(ask("next")))?.kind).to.equal("granted");
  });

  it("tells others which rates replicas take, once each change", async () => {
    const entry = await connect();
    const heard: RateNews[] = [];
    await connect((news) => void heard.push(...news));
    const news = { replica: "r", perS: 2, endedAgoMs: undefined };
    entry.sendRates([news, { ...news, replica: "odd", perS: NaN }]);
    await until(() => rates.isLimited("r", now()));
    for (let times = 0; times < 3; times += 1)
      server.notifyEntriesOfRates(SERVICE);
    await until(() => heard.length > 0);
    entry.sendRates([{ ...news, endedAgoMs: 0 }]);
    await until(() => rates.activeLimits(now())[0]?.endedAgoMs !== undefined);
    server.notifyEntriesOfRates(SERVICE);
    await until(() => heard.length > 1);
    expect(heard.map(({ perS }) => perS)).to.eql([2, 2]);
    expect(heard[0]?.endedAgoMs).to.equal(undefined);
    expect(heard[1]?.endedAgoMs).to.be.a("number");
  });

  it("an ask that waits is answered when room comes", async () => {
    const entry = await connect();
    await runOne(entry);
    const first = await entry.place(ask("first"));
    expect(first?.kind).to.equal("granted");
    const second = entry.place(ask("second"));
    await until(() => local.scheduler(SERVICE).queueLength === 1);
    entry.reportEvent({
      kind: "ended",
      id: "first",
      ok: true,
      firstEventMs: 5,
    });
    expect((await second)?.kind).to.equal("granted");
  });

  it("what a lost entry had at engines takes no room any more", async () => {
    const lost = await connect();
    const other = await connect();
    await runOne(other);
    expect((await lost.place(ask("first")))?.kind).to.equal("granted");
    expect(runs()).to.equal(1);
    const waiting = other.place(ask("second"));
    await until(() => local.scheduler(SERVICE).queueLength === 1);
    lost.close();
    expect((await waiting)?.kind).to.equal("granted");
    expect(runs()).to.equal(1);
  });

  it("grants that entries tell of count, until those entries go", async () => {
    const entry = await connect();
    entry.reportHeldGrant(ask("held"), HELD, false);
    await until(() => runs() === 1);
    entry.close();
    await until(() => runs() === 0);
  });

  it("a grant whose prompt was read takes no time of its reader", async () => {
    const entry = await connect();
    const backlogMs = (): number => {
      const engines = local.scheduler(SERVICE).engineStates();
      const reader = engines.find(({ view }) => view.id === "reader");
      return reader?.backlogMs(now()) ?? 0;
    };
    entry.reportHeldGrant(ask("read"), { ...HELD, reader: "reader" }, true);
    await until(() => runs() === 1);
    expect(backlogMs()).to.equal(0);
    entry.reportHeldGrant(ask("unread"), { ...HELD, reader: "reader" }, false);
    await until(() => runs() === 2);
    expect(backlogMs()).to.be.greaterThan(0);
  });
});
