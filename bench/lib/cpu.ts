/** Processor time and memory of a process, read from /proc. */
import { readFileSync } from "node:fs";

/** Clock ticks per second on Linux. */
const TICKS_PER_SECOND = 100;
/** Zero-based indices into the fields of /proc/PID/stat after the command name. */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const MS = 1000;

/** Processor time that the process has used since its start, ms. */
export const cpuMs = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  return (ticks / TICKS_PER_SECOND) * MS;
};

/** Resident memory of the process, MB. */
export const residentMb = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  const kb = /VmRSS:\s+(\d+)/.exec(text)?.[1] ?? "0";
  return Number(kb) / 1024;
};
