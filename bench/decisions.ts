/**
 * Compares the goodput of routing policies under a shifting request mix, with
 * real processes and engine stand-ins of fixed speed.
 *
 * node dist/bench/decisions.js [traces] [faults] [policies] [seeds]
 */
import Table from "cli-table3";

import { POLICY_NAMES } from "../src/routing/index.js";
import { Fleet } from "../tests/support/fleet.js";
import { stopAll } from "../tests/support/processes.js";
import { engineSpec } from "../tests/support/specs.js";
import { streamCompletion } from "./lib/caller.js";
import type { CompletionOutcome } from "./lib/caller.js";
import { fairness, percentiles, formatMeanAndRange } from "./lib/figures.js";
import { generateTrace, promptOf, TRACES } from "./lib/traces.js";
import type { TraceRequest } from "./lib/traces.js";

const ENGINES = 8;
const ENTRIES = 3;
const CLASSES = [
  { name: "confirm", urgency: "urgent", deadlineMs: 1500 },
  { name: "lookup", urgency: "normal", deadlineMs: 2500 },
  { name: "draft", urgency: "normal", deadlineMs: 5000 },
];
const DEADLINE_MS_BY_CLASS: Record<string, number> = Object.fromEntries(
  CLASSES.map((item) => [item.name, item.deadlineMs]),
);
/** Options of the engine stand-in. */
const ENGINE_OPTIONS = {
  prefillTokensPerSecond: 8000,
  stepMs: 12,
  sequenceMs: 0.4,
  maxSequences: 32,
  chunkTokens: 512,
  cacheBlocks: 256,
  orderMs: 1500,
};
/** Catalogue favours goodput, Kilima favours few role changes. */
const CHANGE_COST: Record<string, number> = {
  catalogue: 0.05,
  kilima: 0.2,
  steady: 0.05,
};

const FAULT_NAMES = [
  "none",
  "crash",
  "lag",
  "withdrawn",
  "store-down",
] as const;
type Fault = (typeof FAULT_NAMES)[number];

interface Run {
  trace: string;
  fault: Fault;
  policy: string;
  seed: number;
}

interface Figures {
  goodput: number;
  urgent: number;
  first: [number, number, number];
  gap: [number, number, number];
  roleChanges: number;
  refused: number;
  retried: number;
  reused: number;
  fair: number;
}

const startFleet = (run: Run): Promise<Fleet> => {
  const options = {
    ...ENGINE_OPTIONS,
    loadLagMs: run.fault === "lag" ? 2000 : 0,
  };
  const upstreams = Array.from({ length: ENGINES }, (_item, at) =>
    engineSpec(`parts-${at + 1}`, { options }),
  );
  return Fleet.start({
    entries: ENTRIES,
    entry: { routingPolicy: run.policy, leaseMs: 6000 },
    upstreams,
    peerPeriodMs: 500,
    services: [
      {
        name: "parts-model",
        kind: "model",
        models: [{ name: "parts-8b", version: "1" }],
        classes: CLASSES,
        defaultClass: "draft",
        capacity: {
          prefillTokensPerSecond: ENGINE_OPTIONS.prefillTokensPerSecond,
          decodeTokensPerSecond: 50,
          maxSequences: ENGINE_OPTIONS.maxSequences,
        },
        roles: {
          changeCost: CHANGE_COST[run.trace],
          dwellMs: 10_000,
          horizonMs: 60_000,
        },
      },
    ],
  });
};

const inject = async (fleet: Fleet, fault: Fault): Promise<void> => {
  switch (fault) {
    case "crash":
      return fleet.part("parts-1").standin.signal("SIGKILL");
    case "withdrawn":
      return fleet.part("parts-1").side.signal("SIGTERM");
    case "store-down":
      return void (await fleet.storeFaults({ down: true }));
    case "none":
    case "lag":
      return;
  }
};

const isWithinDeadline = (
  request: TraceRequest,
  outcome: CompletionOutcome,
): boolean =>
  outcome.isWhole &&
  outcome.totalMs <= (DEADLINE_MS_BY_CLASS[request.className] ?? 0);

const fractionTrue = (values: boolean[]): number =>
  values.filter(Boolean).length / Math.max(1, values.length);

const counterSum = async (fleet: Fleet, prefix: string): Promise<number> => {
  let sum = 0;
  for (let entry = 0; entry < ENTRIES; entry += 1) {
    const rows = await fleet.rows("show counters", entry);
    for (const row of rows) {
      if (String(row.counter).startsWith(prefix)) sum += Number(row.value);
    }
  }
  return sum;
};

const measureReuse = async (fleet: Fleet): Promise<[number, number]> => {
  let reused = 0;
  let read = 0;
  let changes = 0;
  for (const id of fleet.upstreams.keys()) {
    try {
      const record = await fleet.record<{
        reusedTokens: number;
        readTokens: number;
        orders: { action: { kind: string } }[];
      }>(id);
      reused += record.reusedTokens;
      read += record.readTokens;
      changes += record.orders.filter((o) => o.action.kind === "role").length;
    } catch {
      // A crashed engine has lost its record.
    }
  }
  return [reused / Math.max(1, reused + read), changes];
};

const DETAIL_WINDOW_MS = 1500;

/** Prints outcomes by time window and class, to explain an overall figure. */
const printDetail = (
  trace: TraceRequest[],
  outcomes: CompletionOutcome[],
  good: boolean[],
): void => {
  const cells = new Map<string, Map<string, number>>();
  trace.forEach((request, at) => {
    const window = Math.floor(request.at / DETAIL_WINDOW_MS) * DETAIL_WINDOW_MS;
    const key = `${String(window).padStart(6)} ${request.className}`;
    const outcome = outcomes[at]!;
    const late = outcome.isWhole ? "late" : `cut ${outcome.code}`;
    const what = good[at] ? "good" : late;
    const counts = cells.get(key) ?? new Map<string, number>();
    counts.set(what, (counts.get(what) ?? 0) + 1);
    cells.set(key, counts);
  });
  for (const [key, counts] of [...cells].sort()) {
    const text = [...counts].map(([what, count]) => `${what} ${count}`);
    console.error(`${key}: ${text.join(", ")}`);
  }
};

const measure = async (run: Run): Promise<Figures> => {
  const fleet = await startFleet(run);
  const trace = generateTrace(TRACES[run.trace]!, run.seed);
  const faultAtMs = (trace.at(-1)?.at ?? 0) / 3;
  const startedAt = performance.now();
  const fault = setTimeout(() => void inject(fleet, run.fault), faultAtMs);
  const outcomes = await Promise.all(
    trace.map(async (request, index) => {
      const wait = request.at - (performance.now() - startedAt);
      await new Promise((resolve) => setTimeout(resolve, Math.max(0, wait)));
      return streamCompletion({
        url: fleet.entryUrl(index % ENTRIES),
        prompt: promptOf(request, index),
        outputTokens: request.outputTokens,
        headers: {
          "x-snowgate-class": request.className,
          "x-snowgate-workspace": request.workspace,
        },
      });
    }),
  );
  clearTimeout(fault);
  const good = trace.map((request, at) =>
    isWithinDeadline(request, outcomes[at]!),
  );
  const ofClass = (name: string) =>
    good.filter((_item, at) => trace[at]?.className === name);
  if (process.env.BENCH_DETAIL) printDetail(trace, outcomes, good);
  const names = [...new Set(trace.map((request) => request.workspace))];
  const byWorkspace = names.map((name) =>
    fractionTrue(good.filter((_item, at) => trace[at]?.workspace === name)),
  );
  const first = outcomes.filter((item) => item.firstTokenMs > 0);
  const [reused, roleChanges] = await measureReuse(fleet);
  const figures: Figures = {
    goodput: fractionTrue(good),
    urgent: fractionTrue(ofClass("confirm")),
    first: percentiles(first.map((item) => item.firstTokenMs)),
    gap: percentiles(outcomes.flatMap((item) => item.gapsMs)),
    roleChanges,
    refused: outcomes.filter((item) => item.status !== 200).length,
    retried: await counterSum(fleet, "retry"),
    reused,
    fair: fairness(byWorkspace),
  };
  await stopAll();
  return figures;
};

const formatPercentiles = (values: [number, number, number]): string =>
  values.map((value) => Math.round(value)).join("/");

const mean = (values: number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const tableRow = (run: Run, all: Figures[]): string[] => {
  const last = all.at(-1)!;
  const of = (name: "goodput" | "urgent" | "reused" | "fair") =>
    formatMeanAndRange(all.map((item) => item[name]));
  const sum = (name: "roleChanges" | "refused" | "retried") =>
    mean(all.map((item) => item[name])).toFixed(1);
  return [
    run.trace,
    run.fault,
    run.policy,
    of("goodput"),
    of("urgent"),
    formatPercentiles(last.first),
    formatPercentiles(last.gap),
    sum("roleChanges"),
    sum("refused"),
    sum("retried"),
    of("reused"),
    of("fair"),
  ];
};

const parseListArgument = (at: number, all: readonly string[]): string[] => {
  const text = process.argv[at];
  return text === undefined || text === "all" ? [...all] : text.split(",");
};

const main = async (): Promise<void> => {
  const table = new Table({
    head: [
      "trace",
      "fault",
      "policy",
      "goodput",
      "urgent",
      "first p50/95/99",
      "gap p50/95/99",
      "role changes",
      "refused",
      "retried",
      "reused",
      "fairness",
    ],
    style: { head: [], compact: true },
  });
  const seeds = parseListArgument(5, ["1", "2"]).map(Number);
  for (const trace of parseListArgument(2, Object.keys(TRACES))) {
    for (const fault of parseListArgument(3, FAULT_NAMES) as Fault[]) {
      for (const policy of parseListArgument(4, POLICY_NAMES)) {
        const all: Figures[] = [];
        const run = { trace, fault, policy, seed: 0 };
        for (const seed of seeds) all.push(await measure({ ...run, seed }));
        const cells = tableRow(run, all);
        table.push(cells);
        console.error(cells.join(" | "));
      }
    }
  }
  console.log(table.toString());
};

try {
  await main();
} finally {
  await stopAll();
}
