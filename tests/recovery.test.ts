import { expect } from "chai";

import { exchange } from "../src/http/index.js";
import { openStream, post, wholeWords } from "./support/callers.js";
import { Fleet } from "./support/fleet.js";
import { stopAll } from "./support/processes.js";
import {
  engineSpec,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainSpec,
} from "./support/specs.js";
import { until } from "./support/until.js";

const SITES = [
  { name: "bilbao", region: "norte", domain: "norte-a" },
  { name: "oviedo", region: "norte", domain: "norte-b" },
];
const TOKENS = 30;
/** Requests that must be answered before and after a fault. */
const REQUESTS = 20;

interface Counters {
  reads: number;
  writes: number;
  watches: number;
  limited: number;
}

describe("recovery", () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await Fleet.start({
      entries: 2,
      sites: SITES,
      entry: { lameDuckMs: 500 },
      services: [MODEL_SERVICE, PLAIN_SERVICE],
      upstreams: [
        engineSpec("parts-1", { site: "bilbao" }),
        engineSpec("parts-2", { site: "oviedo" }),
        plainSpec("stock-1", { site: "bilbao" }),
        plainSpec("stock-2", { site: "oviedo" }),
      ],
    });
  });

  afterEach(stopAll);

  const isReady = async (at: number): Promise<boolean> => {
    try {
      const url = `${fleet.entryUrl(at)}/readyz`;
      const answer = await exchange({ method: "GET", url, timeoutMs: 1000 });
      return answer.status === 200;
    } catch {
      return false;
    }
  };

  /** As the platform's balancer does it: any entry that says it is ready. */
  const readyUrl = async (): Promise<string> => {
    for (let at = fleet.entries.length - 1; at >= 0; at -= 1) {
      if (await isReady(at)) return fleet.entryUrl(at);
    }
    throw new Error("no entry is ready");
  };

  const send = async (index: number) => {
    const url = await readyUrl();
    if (index % 2 === 0) return (await post(`${url}/stock/1`, {})).status;
    const told = await openStream(url, `log ${index}`, TOKENS).ended;
    const isWhole =
      told.isWhole && told.words.join() === wholeWords(TOKENS).join();
    return isWhole ? 200 : `cut: ${told.error} at ${told.words.length}`;
  };

  /** Sends one request after the other until `work` is over. */
  const during = async (work: () => Promise<void>) => {
    const statuses: (number | string)[] = [];
    let isOver = false;
    const senders = [0, 1, 2, 3].map(async (sender) => {
      for (let index = sender; !isOver; index += 1) {
        statuses.push(await send(index));
      }
    });
    await until(() => statuses.length >= REQUESTS, "load before");
    await work();
    const before = statuses.length;
    await until(() => statuses.length >= before + REQUESTS, "load after");
    isOver = true;
    await Promise.all(senders);
    return statuses;
  };

  const expectAllAnswered = (statuses: (number | string)[]) => {
    expect(statuses.filter((status) => status !== 200)).to.deep.equal([]);
  };

  it("entries replaced one by one under load lose nothing", async () => {
    const statuses = await during(async () => {
      for (const [at, old] of [...fleet.entries].entries()) {
        const fresh = await fleet.addEntry(`entry-new-${at}`);
        await fleet.ready(fresh);
        old.signal("SIGTERM");
        expect(await old.ended).to.equal(0);
      }
    });
    expectAllAnswered(statuses);
  });

  it("a failure domain that goes at once costs no repeatable request", async () => {
    const statuses = await during(async () => {
      for (const id of ["parts-2", "stock-2"]) {
        fleet.part(id).side.signal("SIGKILL");
        fleet.part(id).standin.signal("SIGKILL");
      }
    });
    expectAllAnswered(statuses);
  });

  it("an outage of the object API stops no request, and no storm follows", async () => {
    const counters = async (): Promise<Counters> => {
      const url = `http://${fleet.objectApi.at.listening}/counters`;
      const answer = await exchange({ method: "GET", url, timeoutMs: 1000 });
      return JSON.parse(answer.text) as Counters;
    };
    const statuses = await during(async () => {
      await fleet.storeFaults({ down: true });
      await Promise.all([1, 2, 3, 4, 5, 6, 7, 8].map(send));
      await fleet.storeFaults({ down: false });
    });
    expectAllAnswered(statuses);
    const before = await counters();
    await until(async () => (await fleet.rows("show leases")).length === 2);
    const [row] = await fleet.rows("show leases");
    expect(row?.epoch).to.be.greaterThan(0);
    await until(async () => {
      const now = await counters();
      return now.reads > before.reads && now.watches > before.watches;
    });
    expect((await counters()).limited).to.equal(0);
  });
});
