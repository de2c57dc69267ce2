/** The placement protocol between entries and the lease holder, on loopback. */
import { credentials } from "@grpc/grpc-js";
import { expect } from "chai";

import { PlaceCall, SchedulingClient } from "../../src/gen/snowgate.js";
import type { PlaceReply } from "../../src/gen/snowgate.js";
import { toPlaceAsk, toPlaceEvent } from "../../src/placement/messages.js";
import { RateLimits } from "../../src/rateLimits/index.js";
import type { RateNews } from "../../src/rateLimits/index.js";
import { seededRng } from "../../src/shared/rng.js";
import { EntryAdmission } from "../../src/placement/entryAdmission.js";
import { PlacementClient } from "../../src/placement/placementClient.js";
import type {
  LocalPlacement,
  PlacementServer,
} from "../../src/placement/index.js";
import type { EngineView, Grant } from "../../src/scheduling/index.js";
import {
  clientOptions,
  newLocal,
  newServer,
  now,
  placementRequest,
  SERVICE,
} from "../support/placementPeers.js";
import { until } from "../support/until.js";

const engine = (id: string, stage: EngineView["stage"]): EngineView => ({
  id,
  stage,
  domain: "one",
  slots: 1,
  kvCapacityTokens: 100_000,
});
const ENGINES = [engine("reader", "prefill"), engine("runner", "decode")];

const ENDED = { kind: "ended", ok: true, firstEventMs: 5 } as const;
const HELD_GRANT: Grant = {
  kind: "granted",
  reader: undefined,
  runner: "runner",
  donor: undefined,
  readMs: 0,
  waitedMs: 0,
  ageMs: 0,
};

describe("placement through the lease holder", () => {
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
    local = newLocal(ENGINES, rates);
    server = newServer(local, {
      onEngineLeaving: (engine) => leaving.push(engine),
      rates: () => rates.activeLimits(now()),
      onRate: (news) => rates.applyUpdate(news, now()),
      acquirePermit: (replica) => {
        if (replica === "unheard") throw new Error("thrown on purpose");
        return rates.acquire(replica, now())
          ? { kind: "acquired" }
          : { kind: "held-back", waitMs: 250.5 };
      },
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
    admission = new EntryAdmission(() => 0),
  ): Promise<PlacementClient> => {
    let isAccepted = false;
    const client = new PlacementClient({
      ...clientOptions(address),
      onAccepted: () => (isAccepted = true),
      onRates,
      onShares: (shares) => admission.applyShares(shares, now()),
      takeRefused: () => admission.takeRefused(),
      now: clientNow,
      leaseNow: clientNow,
    });
    clients.push(client);
    await until(() => isAccepted, "the lease holder accepts the stream");
    return client;
  };

  /** Completes one request, so that the rate of completions is known. */
  const completeOne = async (entry: PlacementClient): Promise<void> => {
    expect((await entry.place(placementRequest("one")))?.kind).to.equal(
      "granted",
    );
    entry.reportEvent({ kind: "ended", id: "one", ok: true, firstEventMs: 5 });
    await until(() => totalRuns() === 0, "the run ends");
  };

  const totalRuns = (): number =>
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
      const answer = entry.place(placementRequest("one"));
      stallMs = 3000;
      expect(await answer).to.include({ kind: "granted" });
      expect(((await answer) as Grant).ageMs).to.be.at.least(3000);
    });

    it("excludes the time the placement request was queued at the lease holder", async () => {
      const other = await connect();
      await completeOne(other);
      await other.place(placementRequest("first"));
      const entry = await connect(undefined, stalledNow);
      const answer = entry.place(placementRequest("second"));
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
   * An exception while a message is handled would end the stream, with the
   * placement requests of all other callers. Entries send theirs again to the
   * next lease holder, so the same one would end that stream too.
   */
  for (const messageKind of ["ask", "held"] as const) {
    it(`continues after a message whose handling throws: ${messageKind}`, async () => {
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
      const bad = { ...placementRequest("bad"), route: "bad" };
      if (messageKind === "held") entry.reportHeldGrant(bad, HELD_GRANT, false);
      else expect((await entry.place(bad))?.kind).to.equal("refused");
      expect((await entry.place(placementRequest("good")))?.kind).to.equal(
        "granted",
      );
    });
  }

  it("reports leaving engines to the lease holder and continues to place requests", async () => {
    const entry = await connect();
    entry.reportEvent({ kind: "leaving", id: "", engine: "runner" });
    expect((await entry.place(placementRequest("next")))?.kind).to.equal(
      "granted",
    );
    expect(leaving).to.deep.equal(["runner"]);
  });

  it("grants permits for replicas without placement", async () => {
    const entry = await connect();
    const free = await entry.requestPermit("p-1");
    expect(free).to.deep.equal({ kind: "acquired" });
    entry.sendRates([
      { replica: "p-1", perS: 2, endedAgoMs: undefined, reportedAgoMs: 0 },
    ]);
    const held = await entry.requestPermit("p-1");
    expect(held).to.deep.equal({ kind: "held-back", waitMs: 251 });
  });

  it("leaves a permit request unanswered if its handling throws, and continues", async () => {
    const entry = await connect();
    expect(await entry.requestPermit("unheard")).to.equal(undefined);
    expect((await entry.place(placementRequest("next")))?.kind).to.equal(
      "granted",
    );
  });

  it("sends the rate limits of replicas to other entries, once per change", async () => {
    const entry = await connect();
    const received: RateNews[] = [];
    await connect((news) => void received.push(...news));
    const news = {
      replica: "r",
      perS: 2,
      endedAgoMs: undefined,
      reportedAgoMs: 0,
    };
    entry.sendRates([news, { ...news, replica: "odd", perS: NaN }]);
    await until(() => rates.isLimited("r", now()));
    for (let times = 0; times < 3; times += 1)
      server.notifyEntriesOfRates(SERVICE);
    await until(() => received.length > 0);
    entry.sendRates([{ ...news, endedAgoMs: 0 }]);
    await until(() => rates.activeLimits(now())[0]?.endedAgoMs !== undefined);
    server.notifyEntriesOfRates(SERVICE);
    await until(() => received.length > 1);
    expect(received.map(({ perS }) => perS)).to.eql([2, 2]);
    expect(received[0]?.endedAgoMs).to.equal(undefined);
    expect(received[1]?.endedAgoMs).to.be.a("number");
  });

  it("sends shares while there is contention, also to an entry that refuses all, and its counts to the holder", async () => {
    const flow = { route: "lookup", workspace: "", priority: 0 };
    let isContended = true;
    let counted = 0;
    const scheduler = local.scheduler(SERVICE);
    scheduler.shares = () => (isContended ? [{ flow, admit: 0 }] : []);
    scheduler.recordRefusedElsewhere = ({ flow: received, requests }) => {
      expect(received).to.deep.equal(flow);
      counted += requests;
    };
    const admission = new EntryAdmission(() => 0);
    const entry = await connect(undefined, now, admission);
    const isRefused = (): boolean =>
      admission.decide(placementRequest("next"), 0, now()).kind === "refused";
    await entry.place(placementRequest("first"));
    await until(isRefused, "the shares arrive");
    // Longer than a set stays in force.
    let refused = 1;
    const endAt = now() + 700;
    while (now() < endAt) {
      expect(isRefused()).to.equal(true);
      refused += 1;
      entry.reportRefused();
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    await until(() => counted === refused, "all refused requests are counted");
    isContended = false;
    await until(() => !isRefused(), "the shares end");
  });

  /*
   * The holder reads one message after the other. An ask that came just before
   * the report that frees its engine was queued, and one that its entry had
   * withdrawn took a slot.
   */
  it("handles asks after the reports that arrive in the same turn", async () => {
    const entry = await connect();
    await completeOne(entry);
    await entry.place(placementRequest("first"));
    const raw = new SchedulingClient(address, credentials.createInsecure());
    const stream = raw.place();
    const replies: PlaceReply[] = [];
    stream.on("data", (reply: PlaceReply) => replies.push(reply));
    stream.on("error", () => undefined);
    const call = (more: Partial<PlaceCall>) =>
      stream.write(PlaceCall.fromPartial({ service: SERVICE, ...more }));
    const end = (id: string) => toPlaceEvent({ ...ENDED, id });
    call({});
    await new Promise((resolve) => stream.once("metadata", resolve));
    call({ ask: toPlaceAsk(placementRequest("withdrawn")) });
    call({ ask: toPlaceAsk(placementRequest("second")) });
    call({ events: [end("first"), end("withdrawn")] });
    await until(() => replies.length > 0);
    expect(replies.map(({ id, runner }) => [id, runner])).to.deep.equal([
      ["second", "runner"],
    ]);
    expect(totalRuns()).to.equal(1);
    stream.cancel();
    raw.close();
  });

  it("answers a queued placement request when a slot becomes free", async () => {
    const entry = await connect();
    await completeOne(entry);
    const first = await entry.place(placementRequest("first"));
    expect(first?.kind).to.equal("granted");
    const second = entry.place(placementRequest("second"));
    await until(() => local.scheduler(SERVICE).queueLength === 1);
    entry.reportEvent({
      kind: "ended",
      id: "first",
      ok: true,
      firstEventMs: 5,
    });
    expect((await second)?.kind).to.equal("granted");
  });

  it("frees the slots held by an entry that has disconnected", async () => {
    const lost = await connect();
    const other = await connect();
    await completeOne(other);
    expect((await lost.place(placementRequest("first")))?.kind).to.equal(
      "granted",
    );
    expect(totalRuns()).to.equal(1);
    const waiting = other.place(placementRequest("second"));
    await until(() => local.scheduler(SERVICE).queueLength === 1);
    lost.close();
    expect((await waiting)?.kind).to.equal("granted");
    expect(totalRuns()).to.equal(1);
  });

  it("counts grants reported by entries until those entries disconnect", async () => {
    const entry = await connect();
    entry.reportHeldGrant(placementRequest("held"), HELD_GRANT, false);
    await until(() => totalRuns() === 1);
    entry.close();
    await until(() => totalRuns() === 0);
  });

  it("adds no backlog to the prefill engine for a grant whose prefill has ended", async () => {
    const entry = await connect();
    // Adopted prefills count until their expected end: it must not pass here.
    const cost = { fixedMs: 60_000, tokenMs: 1, mPairMs: 0 };
    local.scheduler(SERVICE).prefillModel.restoreCost(cost);
    const backlogMs = (): number => {
      const engines = local.scheduler(SERVICE).engineStates();
      const prefillEngine = engines.find(({ view }) => view.id === "reader");
      return prefillEngine?.backlogMs(now()) ?? 0;
    };
    entry.reportHeldGrant(
      placementRequest("read"),
      { ...HELD_GRANT, reader: "reader" },
      true,
    );
    await until(() => totalRuns() === 1);
    expect(backlogMs()).to.equal(0);
    entry.reportHeldGrant(
      placementRequest("unread"),
      { ...HELD_GRANT, reader: "reader" },
      false,
    );
    await until(() => totalRuns() === 2);
    expect(backlogMs()).to.be.greaterThan(0);
  });
});
