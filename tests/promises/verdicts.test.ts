import { expect } from "chai";

import { post } from "../support/callers.js";
import type { Told } from "../support/callers.js";
import { Fleet } from "../support/fleet.js";
import { stopAll } from "../support/processes.js";
import { PLAIN_SERVICE, plainSpec } from "../support/specs.js";

interface PlainRecord {
  runs: { key: string }[];
}

/** Where the connection is lost, and how. */
const FAULTS = [
  { where: "proxy", mode: "refuse" },
  { where: "proxy", mode: "cut" },
  { where: "proxy", mode: "drop-answer" },
  { where: "upstreamProxy", mode: "refuse" },
  { where: "upstreamProxy", mode: "cut" },
  { where: "upstreamProxy", mode: "drop-answer" },
] as const;

const REQUESTS = 8;

describe('promise 5: told "not-run" means that it did not run', () => {
  let fleet: Fleet;

  before(async () => {
    const more = { proxied: true, proxiedUpstream: true };
    fleet = await Fleet.start({
      entries: 1,
      services: [PLAIN_SERVICE],
      upstreams: [plainSpec("stock-1", more), plainSpec("stock-2", more)],
    });
  });

  after(stopAll);

  const setAll = (where: "proxy" | "upstreamProxy", mode: object) =>
    Promise.all(
      [...fleet.upstreams.values()].map((part) =>
        fleet.proxyMode(part[where], mode),
      ),
    );

  const ranKeys = async (): Promise<Set<string>> => {
    const records = await Promise.all(
      [...fleet.upstreams.keys()].map((id) => fleet.record<PlainRecord>(id)),
    );
    return new Set(records.flatMap((item) => item.runs.map((run) => run.key)));
  };

  for (const { where, mode } of FAULTS) {
    for (const path of ["/reservations", "/stock/check"]) {
      it(`${where} ${mode}, ${path}`, async () => {
        const told = new Map<string, Told>();
        for (let index = 0; index < REQUESTS; index += 1) {
          await setAll(where, { mode, hits: 1 });
          const key = `${where}-${mode}-${path}-${index}`;
          const url = fleet.entryUrl() + path;
          told.set(key, await post(url, {}, { "idempotency-key": key }));
        }
        await setAll(where, { mode: "pass" });
        const ran = await ranKeys();
        for (const [key, answer] of told) {
          if (answer.status === 200) expect(ran.has(key), key).to.equal(true);
          if (answer.verdict !== "not-run") continue;
          expect(ran.has(key), `${key} was told not-run`).to.equal(false);
        }
      });
    }
  }
});
