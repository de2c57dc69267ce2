#!/usr/bin/env node
/**
 * `snowgate-bench play LOAD...`: plays loads against the real scheduling code in
 * virtual time and prints the outcomes for callers.
 */
import { cac } from "cac";
import Table from "cli-table3";

import { errText } from "../../src/shared/utils.js";
import { percentiles, formatMeanAndRange } from "../lib/figures.js";
import { readLoad } from "./load.js";
import { Play } from "./play.js";
import { addTallies, servedBySize } from "./tally.js";
import type { PlayResult } from "./play.js";

const EXIT_USAGE = 2;
const DEFAULT_SEEDS = "1,2,3";
const MS_PER_SECOND = 1000;
/** Every tenth stage count is printed: 3 s apart. */
const STAGE_SAMPLE_STEP = 10;

interface Flags {
  seeds: string;
  stages?: boolean;
}

const share = (part: number, all: number): string =>
  all === 0 ? "-" : ((100 * part) / all).toFixed(1);

const kindRow = (name: string, plays: readonly PlayResult[]): string[] => {
  const all = plays.flatMap(({ tallies }) => tallies.get(name) ?? []);
  const tally = addTallies(all);
  const { asked, inTime, late, refused, failed, inVain, firstMs } = tally;
  const served = servedBySize(tally);
  const [p50, , p99] = percentiles(firstMs);
  const shares = [inTime, late, refused, failed, inVain].map((part) =>
    share(part, asked),
  );
  const bySize = [served.large, served.largest].map((part) => share(part, 1));
  const latencies = [p50, p99].map((ms) => ms.toFixed(0));
  return [name, String(asked), ...shares, ...bySize, ...latencies];
};

const kindTable = (plays: readonly PlayResult[]): string => {
  const head = [
    ...["kind", "asked", "in time %", "late %", "refused %", "failed %"],
    ...["in vain %", "large served %", "largest served %"],
    ...["first p50 ms", "p99 ms"],
  ];
  const table = new Table({ head, style: { head: [] } });
  for (const name of plays[0]?.tallies.keys() ?? []) {
    table.push(kindRow(name, plays));
  }
  return table.toString();
};

const stageLine = ({ stages }: PlayResult): string =>
  stages
    .filter((_, at) => at % STAGE_SAMPLE_STEP === 0)
    .map(({ atMs, prefill, decode }) => {
      return `${(atMs / MS_PER_SECOND).toFixed(0)}s ${prefill}/${decode}`;
    })
    .join("  ");

const play = (files: readonly string[], flags: Flags): void => {
  const seeds = String(flags.seeds).split(",").map(Number);
  for (const file of files) {
    const load = readLoad(file);
    const plays = seeds.map((seed) => new Play(load, seed).run());
    const worth = formatMeanAndRange(plays.map((item) => item.worth));
    const changes = formatMeanAndRange(plays.map((item) => item.changes));
    console.log(`${file}: worth ${worth}, changes of stage ${changes}`);
    console.log(kindTable(plays));
    if (flags.stages === true && plays[0] !== undefined) {
      console.log(`engines that read / make tokens: ${stageLine(plays[0])}`);
    }
  }
};

const cli = cac("snowgate-bench");
cli
  .command("play <...loads>", "Play loads and print what callers get")
  .option("--seeds <list>", "Seeds, separated by commas", {
    default: DEFAULT_SEEDS,
  })
  .option("--stages", "Print the engines of each stage over time")
  .action(play);
cli.help();

try {
  cli.parse();
} catch (err) {
  process.stderr.write(`snowgate-bench: ${errText(err)}\n`);
  process.exitCode = EXIT_USAGE;
}
