/**
 * Measures what the control plane costs while no requests are served: processor
 * time, memory, object API calls and bytes between peers.
 *
 * node dist/bench/idle.js [seconds]
 */
import { readFileSync } from "node:fs";
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
import { cpuMs, residentMb } from "./lib/cpu.js";

const SECONDS = Number(process.argv[2] ?? 20);
const MS_PER_SECOND = 1000;
const LOOPBACK_RX_BYTES = /^\s*lo:\s*(\d+)/m;

const counters = async (fleet: Fleet): Promise<Record<string, number>> => {
  const url = `http://${fleet.objectApi.at.listening}/counters`;
  const answer = await exchange({ method: "GET", url, timeoutMs: 1000 });
  return JSON.parse(answer.text) as Record<string, number>;
};

const loopbackBytes = (): number =>
  Number(
    LOOPBACK_RX_BYTES.exec(readFileSync("/proc/net/dev", "utf8"))?.[1] ?? 0,
  );

const run = async (): Promise<void> => {
  const fleet = await Fleet.start({
    entries: 3,
    services: [MODEL_SERVICE, PLAIN_SERVICE],
    upstreams: [
      ...[1, 2, 3, 4].map((at) => engineSpec(`parts-${at}`)),
      ...[1, 2].map((at) => plainSpec(`stock-${at}`)),
    ],
    entry: { leaseMs: 6000 },
    peerPeriodMs: 1000,
  });
  await new Promise((resolve) => setTimeout(resolve, 5 * MS_PER_SECOND));
  const entries = fleet.entries.map((entry) => entry.child.pid!);
  const sides = [...fleet.upstreams.values()].map((p) => p.side.child.pid!);
  const sum = (pids: number[]) =>
    pids.reduce((total, pid) => total + cpuMs(pid), 0);
  const before = {
    entries: sum(entries),
    sides: sum(sides),
    calls: await counters(fleet),
    bytes: loopbackBytes(),
  };
  await new Promise((resolve) => setTimeout(resolve, SECONDS * MS_PER_SECOND));
  const bytes = loopbackBytes() - before.bytes;
  const after = await counters(fleet);
  const table = new Table({ head: ["figure", "value"], style: { head: [] } });
  const coreFraction = (now: number, then: number, count: number) =>
    `${((now - then) / (SECONDS * MS_PER_SECOND * count)).toFixed(4)} of a core`;
  const calls = ["reads", "writes", "watches"].map((name) => {
    const made = (after[name] ?? 0) - (before.calls[name] ?? 0);
    return `${name} ${(made / SECONDS).toFixed(2)}/s`;
  });
  const all = entries.length + sides.length;
  const mean = (pids: number[]) =>
    pids.reduce((total, pid) => total + residentMb(pid), 0) / pids.length;
  table.push(
    ["entry", coreFraction(sum(entries), before.entries, entries.length)],
    ["side", coreFraction(sum(sides), before.sides, sides.length)],
    ["entry, resident", `${mean(entries).toFixed(0)} MB`],
    ["side, resident", `${mean(sides).toFixed(0)} MB`],
    ["object API, all processes", calls.join(", ")],
    [
      `loopback, a process of ${all} (all traffic, both ways)`,
      `${(bytes / SECONDS / all).toFixed(0)} B/s`,
    ],
  );
  console.log(table.toString());
};

try {
  await run();
} finally {
  await stopAll();
}
