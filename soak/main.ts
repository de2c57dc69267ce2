/**
 * Command line of the soak: runs seeds one after the other and prints each
 * violation below the seed that it occurred with.
 *
 * node dist/soak/main.js --from 1 --count 50 --seconds 12
 */
import { mkdirSync, writeFileSync } from "node:fs";
import path from "node:path";
import { cac } from "cac";

import { partCounts } from "./partChecks.js";
import { profileOf } from "./profile.js";
import { DEFAULT_SIZES, runSoak } from "./runSoak.js";
import { retryPeaks } from "./retryChecks.js";
import { streamShares } from "./streamChecks.js";
import type { SoakOptions, SoakResult } from "./runSoak.js";

const cli = cac("soak");
cli.option("--from <seed>", "first seed", { default: 1 });
cli.option("--count <seeds>", "how many seeds", { default: 1 });
cli.option("--seconds <s>", "time of faults a seed", { default: 12 });
cli.option("--logs <folder>", "where logs of failed seeds go");
for (const [name, value] of Object.entries(DEFAULT_SIZES)) {
  cli.option(`--${name} <n>`, `number of ${name}`, { default: value });
}
cli.help();

/** Total duration of event loop stalls, ms. */
const stalledMs = ({ records }: SoakResult): number =>
  Math.round(
    records.stalls.reduce((sum, { from, until }) => sum + until - from, 0),
  );

/** How often each fault was injected. */
const faultCounts = ({ records }: SoakResult): string => {
  const counts = new Map<string, number>();
  for (const { name } of records.faults) {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].map(([name, count]) => `${name} ${count}`).join(", ");
};

/** How many were judged, and the shares of them and of new ones. */
const streamsLine = ({ records }: SoakResult): string => {
  const { resumed, goOn, begin } = streamShares(records);
  const all = records.calls.filter(({ resumption }) => resumption).length;
  return `${all}, judged ${resumed} (${goOn.toFixed(2)} of them go on, ${begin.toFixed(2)} of new ones begin)`;
};

/** How far requests with parts that ended engines got, and sound ones beside. */
const partsLine = ({ records }: SoakResult): string =>
  partCounts(records)
    .map(
      ({ part, ends, laterRequests, soundBefore, soundAfter }) =>
        ` ${part} ended ${ends} engines, ${laterRequests} requests later,` +
        ` sound ones begun ${soundBefore.toFixed(2)} before, ${soundAfter.toFixed(2)} later;`,
    )
    .join("");

/** Retries of those allowed, in the worst window of each service. */
const retriesLine = ({ records }: SoakResult): string =>
  retryPeaks(records)
    .map(
      ({ service, retries, allowed }) =>
        ` ${service} ${retries} of ${allowed.toFixed(0)}`,
    )
    .join(",");

const report = (options: SoakOptions, result: SoakResult): void => {
  const { calls, runs, orders } = result.records;
  const served = calls.filter(
    (call) => call.status === 200 && call.isWhole,
  ).length;
  console.log(
    `seed ${options.seed} (${options.profile}): ${calls.length} requests, ` +
      `${served} answered whole, ${runs.length} runs, ${orders.length} orders;` +
      ` faults: ${faultCounts(result)}; stalled ${stalledMs(result)} ms;` +
      ` streams taken up ${streamsLine(result)};` +
      partsLine(result) +
      ` retries${retriesLine(result)};` +
      ` ${result.violations.length} violations`,
  );
  for (const { promise, what } of result.violations.slice(0, 20)) {
    console.log(`  ${promise}: ${what}`);
  }
};

const writeLogs = (folder: string, seed: number, result: SoakResult): void => {
  const seedFolder = path.join(folder, `seed-${seed}`);
  mkdirSync(seedFolder, { recursive: true });
  for (const [id, lines] of result.logs) {
    writeFileSync(path.join(seedFolder, `${id}.log`), lines.join("\n"));
  }
  const records = JSON.stringify(result.records, null, 1);
  writeFileSync(path.join(seedFolder, "records.json"), records);
};

const main = async (): Promise<number> => {
  const { options } = cli.parse();
  if (options.help) return 0;
  const positiveInteger = (name: string): number => {
    const value = Number(options[name]);
    if (Number.isInteger(value) && value > 0) return value;
    throw new Error(`--${name} must be a whole number above 0`);
  };
  let failed = 0;
  const first = positiveInteger("from");
  for (let at = 0; at < positiveInteger("count"); at += 1) {
    const seed = first + at;
    const run: SoakOptions = {
      seed,
      seconds: positiveInteger("seconds"),
      profile: profileOf(seed),
      entries: positiveInteger("entries"),
      schedulers: positiveInteger("schedulers"),
      plain: positiveInteger("plain"),
      engines: positiveInteger("engines"),
      callers: positiveInteger("callers"),
    };
    const result = await runSoak(run);
    report(run, result);
    if (result.violations.length === 0) continue;
    failed += 1;
    if (options.logs) writeLogs(String(options.logs), seed, result);
  }
  console.log(`${failed} seeds failed`);
  return failed > 0 ? 1 : 0;
};

const run = async (): Promise<number> => {
  try {
    return await main();
  } catch (err) {
    console.error(`soak: ${err instanceof Error ? err.message : String(err)}`);
    return 2;
  }
};

// At a regular end, Node may wait forever for requests of sockets to complete.
process.exit(await run());
