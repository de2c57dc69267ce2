/** Real processes for tests and benches: start, first line, signals. */
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
  /** Addresses from its first line(s). */
  at: Record<string, string>;
  stderr: () => string;
  /** Resolves with the exit code when it has ended. */
  ended: Promise<number | null>;
  signal: (name: NodeJS.Signals) => void;
}

const running = new Set<Program>();
const MAX_STDERR = 200_000;

/** Starts a compiled script and waits for `lines` lines of addresses. */
export const startProgram = (
  name: string,
  script: string,
  args: string[],
  lines = 1,
): Promise<Program> =>
  new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [path.join(DIST, script), ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    let stderr = "";
    child.stderr?.on("data", (text: Buffer) => {
      stderr = (stderr + text.toString()).slice(-MAX_STDERR);
    });
    const at: Record<string, string> = {};
    const ended = new Promise<number | null>((done) =>
      child.on("close", (code) => done(code)),
    );
    const program: Program = {
      name,
      child,
      at,
      stderr: () => stderr,
      ended,
      signal: (signal) => void child.kill(signal),
    };
    running.add(program);
    void ended.then((code) => {
      running.delete(program);
      reject(new Error(`${name} ended with ${code}: ${stderr}`));
    });
    let left = lines;
    createInterface({ input: child.stdout! }).on("line", (line) => {
      if (left === 0) return;
      Object.assign(at, JSON.parse(line));
      left -= 1;
      if (left === 0) resolve(program);
    });
  });

/** Ends every process that was started here, by its own id. */
export const stopAll = async (): Promise<void> => {
  const all = [...running];
  for (const { child } of all) {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  }
  await Promise.all(all.map((program) => program.ended));
};

/** Starts a stand-in. */
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
