/** Starts, signals and stops the processes that tests and benches use. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import path from "node:path";

/** Folder of the compiled code. */
export const DIST = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  "../..",
);

/** One process that was started here. */
export interface Program {
  name: string;
  child: ChildProcess;
  /** Listening addresses that it printed in its first lines. */
  at: Record<string, string>;
  /** What it wrote to standard output and error. */
  output: () => string;
  /** Resolves with the exit code when it has ended. */
  ended: Promise<number | null>;
  signal: (name: NodeJS.Signals) => void;
}

const runningPrograms = new Set<Program>();
const MAX_OUTPUT = 200_000;

/** Log lines have a message; lines that announce addresses have none. */
const isLogLine = (line: string): boolean =>
  (JSON.parse(line) as { message?: string }).message !== undefined;

/** Starts a compiled script and waits until it has printed `lines` lines of addresses. */
export const startProgram = (
  name: string,
  script: string,
  args: string[],
  lines = 1,
  nodeArgs: string[] = [],
): Promise<Program> =>
  new Promise((resolve, reject) => {
    const command = [...nodeArgs, path.join(DIST, script), ...args];
    const child = spawn(process.execPath, command, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    child.stderr?.on("data", (text: Buffer) => {
      output = (output + text.toString()).slice(-MAX_OUTPUT);
    });
    const at: Record<string, string> = {};
    const ended = new Promise<number | null>((resolveEnded) =>
      child.on("close", (code) => resolveEnded(code)),
    );
    const program: Program = {
      name,
      child,
      at,
      output: () => output,
      ended,
      signal: (signal) => void child.kill(signal),
    };
    runningPrograms.add(program);
    void ended.then((code) => {
      runningPrograms.delete(program);
      reject(new Error(`${name} ended with ${code}: ${output}`));
    });
    let remainingLines = lines;
    createInterface({ input: child.stdout! }).on("line", (line) => {
      output = (output + line + "\n").slice(-MAX_OUTPUT);
      if (remainingLines === 0 || isLogLine(line)) return;
      Object.assign(at, JSON.parse(line));
      remainingLines -= 1;
      if (remainingLines === 0) resolve(program);
    });
  });

/** Kills each process that this module started by its own id, also suspended ones. */
export const stopAll = async (): Promise<void> => {
  const all = [...runningPrograms];
  for (const { child } of all) {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  }
  await Promise.all(all.map((program) => program.ended));
};

/** Starts a stand-in for an upstream or platform service. */
export const startStandin = (
  script: string,
  options: object = {},
  lines = 1,
): Promise<Program> =>
  startProgram(
    script,
    `standins/${script}.js`,
    [JSON.stringify(options)],
    lines,
  );
