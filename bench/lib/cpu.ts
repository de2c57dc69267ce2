/** Processor time and memory of a process, from the system's own record. */
import { readFileSync } from "node:fs";

/** Clock ticks a second on Linux. */
const TICKS_PER_SECOND = 100;
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const MS = 1000;

/** Processor time used since the start, ms. */
export const cpuMs = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  return (ticks / TICKS_PER_SECOND) * MS;
};

/** Resident memory, MB. */
export const residentMb = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  const kb = /VmRSS:\s+(\d+)/.exec(text)?.[1] ?? "0";
  return Number(kb) / 1024;
};
