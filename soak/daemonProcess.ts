/** One process of the product under test: start, signals, lives. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { writeFileSync } from "node:fs";
import path from "node:path";
import { createInterface } from "node:readline";

import {
  settingsEnvironment,
  settingsText,
} from "../platform/standins/settingsFile.js";
import type { MachineSettings } from "../platform/standins/settingsFile.js";
import { DIST } from "../tests/support/processes.js";

const DAEMON_SCRIPT = path.join(DIST, "platform/main.js");
/** Lines that are kept of each process for whoever looks into a failure. */
const MAX_LOG_LINES = 20_000;

/** What a process logs when it serves. */
interface StartedLine {
  message?: string;
  callers?: string;
}

export class DaemonProcess {
  /** Counts its starts. */
  life = 0;
  /** Where callers reach it; undefined while it is not up. */
  callerAddress: string | undefined;
  readonly logLines: string[] = [];
  private child: ChildProcess | undefined;
  private exited: Promise<void> = Promise.resolve();
  isPaused = false;

  constructor(
    readonly machine: MachineSettings,
    private readonly folder: string,
  ) {}

  get id(): string {
    return this.machine.id;
  }

  get isUp(): boolean {
    return this.child !== undefined && !this.isPaused;
  }

  /** Resolves when it serves. */
  async start(): Promise<void> {
    await this.exited;
    const file = path.join(this.folder, `${this.id}.yaml`);
    writeFileSync(file, settingsText(this.machine));
    const child = spawn(process.execPath, [DAEMON_SCRIPT], {
      env: { PATH: process.env.PATH, ...settingsEnvironment(file) },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    this.life += 1;
    this.exited = new Promise((resolve) =>
      child.on("close", () => {
        this.child = undefined;
        this.callerAddress = undefined;
        resolve();
      }),
    );
    child.stderr?.on("data", (text: Buffer) => this.appendLog(text.toString()));
    const started = new Promise<void>((resolve) => {
      createInterface({ input: child.stdout! }).on("line", (line) => {
        this.appendLog(line);
        const { message, callers } = JSON.parse(line) as StartedLine;
        if (message !== "started") return;
        this.callerAddress = callers;
        resolve();
      });
    });
    await Promise.race([started, this.exited]);
  }

  signal(name: NodeJS.Signals): void {
    if (name === "SIGSTOP") this.isPaused = true;
    if (name === "SIGCONT") this.isPaused = false;
    this.child?.kill(name);
  }

  /** Sends SIGTERM and resolves when it has ended. */
  async stop(): Promise<void> {
    this.signal("SIGTERM");
    await this.exited;
  }

  /** Sends SIGKILL and resolves when it has ended. */
  async kill(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited;
  }

  private appendLog(line: string): void {
    this.logLines.push(line);
    if (this.logLines.length > MAX_LOG_LINES) this.logLines.shift();
  }
}
