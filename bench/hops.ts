/**
 * Measures the overhead of entry and side compared with direct calls to the same
 * upstream in the same run: latency, processor time and idle memory.
 */
import Table from "cli-table3";

import { exchange } from "../src/http/index.js";
import { Fleet } from "../tests/support/fleet.js";
import { stopAll } from "../tests/support/processes.js";
import {
  engineSpec,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainSpec,
} from "../tests/support/specs.js";
import { streamCompletion } from "./lib/caller.js";
import { cpuMs, residentMb } from "./lib/cpu.js";
import { percentiles } from "./lib/figures.js";

const REQUESTS_PER_SECOND = 200;
const SECONDS = 10;
const STREAMS = 40;
const STREAM_TOKENS = 400;
const WARM_UP_REQUESTS = 200;
/** Converts seconds to ms, and ms to µs. */
const PER_MILLI = 1000;

const timeRequest = async (url: string): Promise<number> => {
  const startedAt = performance.now();
  await exchange({
    method: "POST",
    url,
    body: { part: "4711" },
    timeoutMs: 5000,
  });
  return performance.now() - startedAt;
};

/** Alternates direct and proxied requests at a steady rate; times in ms. */
const measurePaired = async (direct: string, through: string) => {
  const times = { direct: [] as number[], through: [] as number[] };
  const all: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let at = 0; at < REQUESTS_PER_SECOND * SECONDS; at += 1) {
    const due =
      (at / REQUESTS_PER_SECOND) * PER_MILLI - (performance.now() - startedAt);
    if (due > 0) await new Promise((resolve) => setTimeout(resolve, due));
    const isDirect = at % 2 === 0;
    const target = isDirect ? times.direct : times.through;
    const one = timeRequest(isDirect ? direct : through);
    all.push(one.then((time) => void target.push(time)));
  }
  await Promise.all(all);
  return times;
};

const run = async (): Promise<void> => {
  const fleet = await Fleet.start({
    entries: 1,
    services: [MODEL_SERVICE, PLAIN_SERVICE],
    upstreams: [
      engineSpec("parts-1", {
        options: { stepMs: 18, sequenceMs: 0, maxSequences: 64 },
      }),
      plainSpec("stock-1", { options: { delayMs: 0 } }),
    ],
    peerPeriodMs: 1000,
  });
  const entry = fleet.entries[0]!.child.pid!;
  const stockSide = fleet.part("stock-1").side.child.pid!;
  const side = fleet.part("parts-1").side.child.pid!;
  const idle = { entry: residentMb(entry), side: residentMb(side) };
  const direct = `http://${fleet.part("stock-1").standin.at.listening}/stock/1`;
  const through = `${fleet.entryUrl()}/stock/1`;
  for (let at = 0; at < WARM_UP_REQUESTS; at += 1) {
    await timeRequest(direct);
    await timeRequest(through);
  }
  const stock = fleet.part("stock-1").standin.child.pid!;
  const before = {
    entry: cpuMs(entry),
    side: cpuMs(stockSide),
    stock: cpuMs(stock),
  };
  const times = await measurePaired(direct, through);
  const sent = times.through.length;
  const perRequest = {
    entry: ((cpuMs(entry) - before.entry) / sent) * PER_MILLI,
    side: ((cpuMs(stockSide) - before.side) / sent) * PER_MILLI,
    // The upstream also answers the direct requests. It does no work, so this is
    // the cost of one hop of Node http.
    stock: ((cpuMs(stock) - before.stock) / (2 * sent)) * PER_MILLI,
  };
  const beforeStreams = { entry: cpuMs(entry), side: cpuMs(side) };
  const outcomes = await Promise.all(
    Array.from({ length: STREAMS }, (_item, at) =>
      streamCompletion({
        url: fleet.entryUrl(),
        prompt: `stream ${at}`,
        outputTokens: STREAM_TOKENS,
        headers: {},
      }),
    ),
  );
  const whole = outcomes.filter((item) => item.isWhole).length;
  const tokens = whole * STREAM_TOKENS;
  const perToken = {
    entry: ((cpuMs(entry) - beforeStreams.entry) / tokens) * PER_MILLI,
    side: ((cpuMs(side) - beforeStreams.side) / tokens) * PER_MILLI,
  };
  const [d50, d95, d99] = percentiles(times.direct);
  const [t50, t95, t99] = percentiles(times.through);
  const table = new Table({ head: ["figure", "value"], style: { head: [] } });
  const ms = (value: number) => `${value.toFixed(2)} ms`;
  const us = (value: number) => `${value.toFixed(0)} µs`;
  table.push(
    ["direct p50 / p95 / p99", [d50, d95, d99].map(ms).join(" / ")],
    ["through p50 / p95 / p99", [t50, t95, t99].map(ms).join(" / ")],
    ["added p50 (aim 1 ms)", ms(t50 - d50)],
    ["added p99 (aim 3 ms)", ms(t99 - d99)],
    ["entry processor time a request", us(perRequest.entry)],
    ["side processor time a request", us(perRequest.side)],
    ["upstream's own, for comparison", us(perRequest.stock)],
    ["whole streams", `${whole} of ${STREAMS}`],
    ["entry processor time a token", us(perToken.entry)],
    ["side processor time a token", us(perToken.side)],
    ["both a token (aim 40 µs)", us(perToken.entry + perToken.side)],
    ["idle entry (aim 80 MB)", `${idle.entry.toFixed(0)} MB`],
    ["idle side (aim 80 MB)", `${idle.side.toFixed(0)} MB`],
  );
  console.log(table.toString());
};

try {
  await run();
} finally {
  await stopAll();
}
