/**
 * Injects random faults under load. Compares what callers were told with what
 * upstreams recorded, and measures the time from a fault until requests are
 * served again.
 *
 * node dist/bench/faults.js [seconds] [seed] [faults-only]
 */
import Table from "cli-table3";

import { seededRng } from "../src/shared/rng.js";
import { openStream, reserve, wholeWords } from "../tests/support/callers.js";
import { Fleet } from "../tests/support/fleet.js";
import { stopAll } from "../tests/support/processes.js";
import {
  engineSpec,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainSpec,
} from "../tests/support/specs.js";
import { percentiles } from "./lib/figures.js";

const SECONDS = Number(process.argv[2] ?? 30);
const SEED = Number(process.argv[3] ?? 1);
const SENDERS = 6;
const STREAM_TOKENS = 40;
const FAULT_PAUSE_MS = 120;
const PLAIN = ["stock-1", "stock-2", "stock-3"];
const ENGINES = ["parts-1", "parts-2", "parts-3"];
const MODES = ["cut", "drop-answer", "refuse"];
const TAKEOVERS = 8;
const SIDE_KILLS = 8;

const rng = seededRng(SEED);
const draw = <T>(items: readonly T[]): T =>
  items[Math.floor(rng() * items.length)] as T;
const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

interface ReservationAnswer {
  key: string;
  status: number;
  verdict: string | undefined;
  code: string;
}

interface Counts {
  faults: number;
  reservations: ReservationAnswer[];
  streams: number;
  silentFailures: number;
  reportedCuts: number;
}

const startFleet = (): Promise<Fleet> => {
  const both = { proxied: true, proxiedUpstream: true };
  return Fleet.start({
    entries: 2,
    // Requests that must not repeat take two calls each, which exceeds the
    // default budget.
    callsPerSecond: 400,
    objectApi: { writesPerSecond: 1000 },
    services: [MODEL_SERVICE, PLAIN_SERVICE],
    upstreams: [
      ...PLAIN.map((id) => plainSpec(id, both)),
      ...ENGINES.map((id) => engineSpec(id, both)),
    ],
  });
};

const codeOf = (body: string): string =>
  /"code":"([a-z_]+)"/.exec(body)?.[1] ?? "none";

/** Sends each key once or twice, the second time through the other entry. */
const sendReservations = async (
  fleet: Fleet,
  sender: number,
  counts: Counts,
  isFinished: () => boolean,
): Promise<void> => {
  for (let index = 0; !isFinished(); index += 1) {
    const key = `key-${sender}-${index}`;
    const attempts = rng() < 0.5 ? 2 : 1;
    for (let at = 0; at < attempts; at += 1) {
      const told = await reserve(fleet.entryUrl(at), key);
      const { status, verdict } = told;
      counts.reservations.push({
        key,
        status,
        verdict,
        code: codeOf(told.body),
      });
    }
    await pause(20);
  }
};

const sendStreams = async (
  fleet: Fleet,
  counts: Counts,
  isFinished: () => boolean,
): Promise<void> => {
  for (let index = 0; !isFinished(); index += 1) {
    const url = fleet.entryUrl(index % 2);
    const told = await openStream(url, `s ${index}`, STREAM_TOKENS).ended;
    counts.streams += 1;
    const words = wholeWords(told.words.length).join();
    const isInOrder = told.words.join() === words;
    if (!isInOrder) counts.silentFailures += 1;
    if (told.isWhole && told.words.length !== STREAM_TOKENS) {
      counts.silentFailures += 1;
    }
    if (!told.isWhole) counts.reportedCuts += 1;
    if (!told.isWhole && told.status === 200 && told.error === undefined) {
      counts.silentFailures += 1;
    }
    await pause(20);
  }
};

const injectFaults = async (
  fleet: Fleet,
  counts: Counts,
  isFinished: () => boolean,
): Promise<void> => {
  while (!isFinished()) {
    const part = fleet.part(draw([...PLAIN, ...ENGINES]));
    const proxy = rng() < 0.5 ? part.proxy : part.upstreamProxy;
    const skip = Math.floor(rng() * 3);
    await fleet.proxyMode(proxy, { mode: draw(MODES), hits: 1, skip });
    counts.faults += 1;
    await pause(FAULT_PAUSE_MS);
  }
};

const findViolations = async (fleet: Fleet, counts: Counts) => {
  const runs = new Map<string, number>();
  for (const id of PLAIN) {
    const record = await fleet.record<{ runs: { key: string }[] }>(id);
    for (const { key } of record.runs) {
      runs.set(key, (runs.get(key) ?? 0) + 1);
    }
  }
  const ran = (key: string) => runs.get(key) ?? 0;
  const answersByKey = new Map<string, ReservationAnswer[]>();
  for (const told of counts.reservations) {
    answersByKey.set(told.key, [...(answersByKey.get(told.key) ?? []), told]);
  }
  // If every attempt of a key was answered not-run, the key must not have run.
  const falseNotRun = [...answersByKey].filter(
    ([key, all]) =>
      all.every((told) => told.verdict === "not-run") && ran(key) > 0,
  ).length;
  return {
    twice: [...runs.values()].filter((count) => count > 1).length,
    falseNotRun,
    lost: counts.reservations.filter(
      (told) => told.status === 200 && ran(told.key) < 1,
    ).length,
  };
};

const errorCodeCounts = (told: ReservationAnswer[]): string => {
  const sums = new Map<string, number>();
  for (const { status, code } of told) {
    if (status !== 200) sums.set(code, (sums.get(code) ?? 0) + 1);
  }
  return [...sums].map(([code, count]) => `${code} ${count}`).join(", ");
};

const measureUnderFaults = async (table: Table.Table): Promise<void> => {
  const fleet = await startFleet();
  const counts: Counts = {
    faults: 0,
    reservations: [],
    streams: 0,
    silentFailures: 0,
    reportedCuts: 0,
  };
  const endAt = performance.now() + SECONDS * 1000;
  const isFinished = () => performance.now() > endAt;
  const senders = Array.from({ length: SENDERS }, (_item, at) =>
    sendReservations(fleet, at, counts, isFinished),
  );
  const streams = Array.from({ length: SENDERS }, () =>
    sendStreams(fleet, counts, isFinished),
  );
  await Promise.all([
    injectFaults(fleet, counts, isFinished),
    ...senders,
    ...streams,
  ]);
  const found = await findViolations(fleet, counts);
  const of = (verdict: string) =>
    counts.reservations.filter((told) => told.verdict === verdict).length;
  table.push(
    ["faults injected", counts.faults],
    ["reservations sent", counts.reservations.length],
    [
      "told 200",
      counts.reservations.filter((told) => told.status === 200).length,
    ],
    ["told not-run", of("not-run")],
    ["told may-have-run", of("may-have-run")],
    ["codes of failures", errorCodeCounts(counts.reservations)],
    ["ran twice (violation)", found.twice],
    ["told not-run and ran (violation)", found.falseNotRun],
    ["told 200 and never ran (violation)", found.lost],
    ["streams", counts.streams],
    ["streams told that they are cut", counts.reportedCuts],
    ["streams wrong or cut in silence (violation)", counts.silentFailures],
  );
  await stopAll();
};

const formatDurations = (values: number[]): string => {
  const [p50, p95] = percentiles(values);
  const max = Math.max(...values);
  return `${p50.toFixed(0)} / ${p95.toFixed(0)} / ${max.toFixed(0)} ms`;
};

/** Times from killing a lease holder until another entry holds its lease, ms. */
const measureTakeovers = async (): Promise<number[]> => {
  const times: number[] = [];
  const fleet = await Fleet.start({
    entries: 2,
    services: [MODEL_SERVICE],
    upstreams: [engineSpec("parts-1")],
    entry: { leaseMs: 6000 },
  });
  const lease = async (entry: number) => {
    const [row] = await fleet.rows("show leases", entry);
    return { holder: String(row?.holder), epoch: Number(row?.epoch) };
  };
  for (let round = 0; round < TAKEOVERS; round += 1) {
    let held = await lease(0);
    while (held.epoch === 0) held = await lease(0);
    const holder = held.holder.split("/")[0];
    const at = fleet.entries.findIndex((entry) => entry.name === holder);
    const [dead] = fleet.entries.splice(at, 1);
    const startedAt = performance.now();
    dead?.signal("SIGKILL");
    while ((await lease(0)).epoch === held.epoch) await pause(20);
    times.push(performance.now() - startedAt);
    await fleet.ready(await fleet.addEntry(`entry-again-${round}`));
  }
  await stopAll();
  return times;
};

/** Times from killing one of two sides until the next answer, ms. */
const measureSideKills = async (): Promise<number[]> => {
  const times: number[] = [];
  const fleet = await Fleet.start({
    entries: 1,
    services: [PLAIN_SERVICE],
    upstreams: [plainSpec("stock-1"), plainSpec("stock-2")],
  });
  const get = async (): Promise<boolean> => {
    const answer = await fetch(`${fleet.entryUrl()}/stock/1`);
    await answer.text();
    return answer.status === 200;
  };
  for (let round = 0; round < SIDE_KILLS; round += 1) {
    const id = round % 2 === 0 ? "stock-1" : "stock-2";
    const { side } = fleet.part(id);
    const startedAt = performance.now();
    side.signal("SIGKILL");
    await side.ended;
    while (!(await get())) await pause(5);
    times.push(performance.now() - startedAt);
    await fleet.restartSide(id);
    await pause(1500);
  }
  await stopAll();
  return times;
};

const main = async (): Promise<void> => {
  const table = new Table({ head: ["figure", "value"], style: { head: [] } });
  await measureUnderFaults(table);
  if (process.argv[4] === "faults-only") {
    console.log(table.toString());
    return;
  }
  table.push([
    "side killed to next answer, p50/p95/most",
    formatDurations(await measureSideKills()),
  ]);
  table.push([
    "lease holder killed to next holder (lease 6 s)",
    formatDurations(await measureTakeovers()),
  ]);
  console.log(table.toString());
};

try {
  await main();
} finally {
  await stopAll();
}
