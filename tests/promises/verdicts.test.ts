import { expect } from "chai";

import { post } from "../support/callers.js";
import type { Told } from "../support/callers.js";
import { Fleet } from "../support/fleet.js";
import { stopAll } from "../support/processes.js";
import { PLAIN_SERVICE, plainSpec } from "../support/specs.js";
import { until } from "../support/until.js";

interface PlainRecord {
  runs: { key: string }[];
}

/**
 * Where the connection is lost, and how. The first answer of a side is that
 * the request is let in (100 Continue), the second is the upstream's.
 */
const FAULTS = [
  { where: "proxy", mode: "refuse", skip: 0 },
  { where: "proxy", mode: "cut", skip: 0 },
  { where: "proxy", mode: "drop-answer", skip: 0 },
  { where: "proxy", mode: "drop-answer", skip: 1 },
  { where: "upstreamProxy", mode: "refuse", skip: 0 },
  { where: "upstreamProxy", mode: "cut", skip: 0 },
  { where: "upstreamProxy", mode: "drop-answer", skip: 0 },
] as const;

const REQUESTS = 2;

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

  /** An upstream that has served since the last call. */
  const served = new Map<string, number>();
  const lastServer = async (): Promise<string> => {
    for (const id of fleet.upstreams.keys()) {
      const { runs } = await fleet.record<PlainRecord>(id);
      const before = served.get(id) ?? 0;
      served.set(id, runs.length);
      if (runs.length > before) return id;
    }
    return "";
  };

  /** How often each key ran, by the upstreams' own records. */
  const runsByKey = async (): Promise<Map<string, number>> => {
    const records = await Promise.all(
      [...fleet.upstreams.keys()].map((id) => fleet.record<PlainRecord>(id)),
    );
    const runs = new Map<string, number>();
    for (const { key } of records.flatMap((item) => item.runs)) {
      runs.set(key, (runs.get(key) ?? 0) + 1);
    }
    return runs;
  };

  /** An upstream that was ejected by the fault before is back. */
  const bothServe = async () => {
    const seen = new Set<string>();
    await until(async () => {
      const told = await post(`${fleet.entryUrl()}/stock/ok`, {});
      if (told.status === 200) seen.add(await lastServer());
      return seen.size === fleet.upstreams.size;
    });
  };

  for (const { where, mode, skip } of FAULTS) {
    for (const path of ["/reservations", "/stock/check"]) {
      it(`${where} ${mode} ${skip}, ${path}`, async () => {
        const told = new Map<string, Told>();
        for (let index = 0; index < REQUESTS; index += 1) {
          await bothServe();
          await setAll(where, { mode, skip, hits: 1 });
          const key = `${where}-${mode}-${skip}-${path}-${index}`;
          const url = fleet.entryUrl() + path;
          told.set(key, await post(url, {}, { "idempotency-key": key }));
        }
        await setAll(where, { mode: "pass" });
        const runs = await runsByKey();
        for (const [key, answer] of told) {
          const ran = runs.get(key) ?? 0;
          if (answer.status === 200) expect(ran, key).to.be.at.least(1);
          if (answer.verdict === "not-run") expect(ran, key).to.equal(0);
          if (path === "/reservations") expect(ran, key).to.be.at.most(1);
        }
      });
    }
  }
});
