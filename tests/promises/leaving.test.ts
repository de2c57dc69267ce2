import { expect } from "chai";

import { exchange } from "../../src/http/index.js";
import { HEADERS } from "../../src/shared/constants.js";
import { post } from "../support/callers.js";
import { Fleet, SECRET } from "../support/fleet.js";
import { stopAll } from "../support/processes.js";
import { PLAIN_SERVICE, plainSpec } from "../support/specs.js";
import { until } from "../support/until.js";

interface PlainRecord {
  runs: unknown[];
}

const REQUESTS = 20;

describe("promise 7: a leaving VM gets no new work", () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await Fleet.start({
      entries: 2,
      vmList: true,
      services: [PLAIN_SERVICE],
      upstreams: [
        plainSpec("stock-1", { proxied: true }),
        plainSpec("stock-2"),
      ],
    });
  });

  afterEach(stopAll);

  const vmListSays = (vms: { vm: string; state: string }[]) =>
    exchange({
      method: "PUT",
      url: `http://${fleet.vmList?.at.listening}/vms`,
      body: vms,
      timeoutMs: 1000,
    });

  const vmListDown = () =>
    exchange({
      method: "POST",
      url: `http://${fleet.vmList?.at.listening}/faults`,
      body: { down: true },
      timeoutMs: 1000,
    });

  const runsOf = async (id: string) =>
    (await fleet.record<PlainRecord>(id)).runs.length;

  /** Sends requests through both entries; all must be answered. */
  const send = async () => {
    for (let index = 0; index < REQUESTS; index += 1) {
      const url = `${fleet.entryUrl(index % 2)}/stock/${index}`;
      expect((await post(url, {})).status).to.equal(200);
    }
  };

  const isLeaving = async (entry: number) => {
    const rows = await fleet.rows("show members where id = stock-1", entry);
    return rows[0]?.state === "leaving";
  };

  const expectNoNewWork = async () => {
    const before = await runsOf("stock-1");
    await send();
    expect(await runsOf("stock-1")).to.equal(before);
  };

  it("as the VM list says", async () => {
    await send();
    await vmListSays([{ vm: "vm-stock-1", state: "leaving" }]);
    await until(async () => (await isLeaving(0)) && (await isLeaving(1)));
    await expectNoNewWork();
  });

  it("as its own side says, while the VM list does not answer", async () => {
    await vmListDown();
    const first = post(`${fleet.entryUrl()}/stock/slow?delayMs=500`, {});
    const { side } = fleet.part("stock-1");
    side.signal("SIGTERM");
    await until(async () => (await isLeaving(0)) && (await isLeaving(1)));
    await expectNoNewWork();
    expect((await first).status).to.equal(200);
  });

  it("from an entry that no news reached the side refuses, not run", async () => {
    await vmListSays([{ vm: "vm-stock-1", state: "leaving" }]);
    await until(async () => {
      const [row] = await fleet.rows("show engines where upstream = stock-1");
      return row?.state === "leaving";
    });
    const before = await runsOf("stock-1");
    const told = await post(
      `http://${fleet.part("stock-1").side.at.data}/stock/1`,
      {},
      {
        [HEADERS.auth]: SECRET,
        [HEADERS.upstream]: "stock-1",
        [HEADERS.requestId]: "late",
        [HEADERS.deadline]: "5000",
      },
    );
    expect([told.status, told.verdict]).to.deep.equal([503, "not-run"]);
    expect(await runsOf("stock-1")).to.equal(before);
  });

  it("while the way to its side is cut, requests go elsewhere", async () => {
    await fleet.proxyMode(fleet.part("stock-1").proxy, { mode: "refuse" });
    await expectNoNewWork();
  });
});
