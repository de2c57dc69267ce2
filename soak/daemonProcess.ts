/** One daemon process under test: start, signals, restarts. */
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
/** Number of most recent log lines kept per process, to debug failures. */
const MAX_LOG_LINES = 20_000;

/** Log line of a process that is ready to serve. */
interface StartedLine {
  message?: string;
  callers?: string;
  ready?: string;
}

/** What is run: by default the compiled program, without arguments for Node. */
interface DaemonProgram {
  script: string;
  nodeArgs: string[];
}

export class DaemonProcess {
  /** Number of starts so far. */
  life = 0;
  /** Address that callers connect to; undefined while it is not up. */
  callerAddress: string | undefined;
  /** Address of the health check; undefined while it is not up. */
  readyAddress: string | undefined;
  readonly logLines: string[] = [];
  private child: ChildProcess | undefined;
  private exited: Promise<void> = Promise.resolve();
  isPaused = false;
  /** Called if it ends without having been stopped or killed. */
  onUnexpectedEnd: () => void = () => undefined;
  private isEnding = false;

  constructor(
    public machine: Omit<MachineSettings, "isFirstStart">,
    private readonly folder: string,
    private readonly program: DaemonProgram = {
      script: DAEMON_SCRIPT,
      nodeArgs: [],
    },
  ) {}

  /** The running process, if any. */
  get process(): ChildProcess | undefined {
    return this.child;
  }

  get id(): string {
    return this.machine.id;
  }

  get isUp(): boolean {
    return this.child !== undefined && !this.isPaused;
  }

  /** Writes the settings file anew, without a signal to the process. */
  changeSettings(change: Partial<MachineSettings>): void {
    this.machine = { ...this.machine, ...change };
    this.writeSettings(false);
  }

  /** Resolves when the process serves, or has exited. */
  async start(): Promise<void> {
    await this.exited;
    const file = this.writeSettings(this.life === 0);
    const { script, nodeArgs } = this.program;
    const child = spawn(process.execPath, [...nodeArgs, script], {
      env: { PATH: process.env.PATH, ...settingsEnvironment(file) },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    this.life += 1;
    this.isEnding = false;
    this.exited = new Promise((resolve) =>
      child.on("close", () => {
        this.child = undefined;
        this.callerAddress = undefined;
        this.readyAddress = undefined;
        if (!this.isEnding) this.onUnexpectedEnd();
        resolve();
      }),
    );
    child.stderr?.on("data", (text: Buffer) => this.appendLog(text.toString()));
    const started = new Promise<void>((resolve) => {
      createInterface({ input: child.stdout! }).on("line", (line) => {
        this.appendLog(line);
        const { message, callers, ready } = JSON.parse(line) as StartedLine;
        if (message !== "started") return;
        this.callerAddress = callers;
        this.readyAddress = ready;
        resolve();
      });
    });
    await Promise.race([started, this.exited]);
  }

  signal(name: NodeJS.Signals): void {
    if (name === "SIGSTOP") this.isPaused = true;
    if (name === "SIGCONT") this.isPaused = false;
    if (name === "SIGTERM" || name === "SIGKILL") this.isEnding = true;
    this.child?.kill(name);
  }

  /** Sends SIGTERM and resolves when the process has exited. */
  async stop(): Promise<void> {
    this.signal("SIGTERM");
    await this.exited;
  }

  /** Sends SIGKILL and resolves when the process has exited. */
  async kill(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited;
  }

  /** Returns the file's path. */
  private writeSettings(isFirstStart: boolean): string {
    const file = path.join(this.folder, `${this.id}.yaml`);
    writeFileSync(file, settingsText({ ...this.machine, isFirstStart }));
    return file;
  }

  private appendLog(line: string): void {
    this.logLines.push(line);
    if (this.logLines.length > MAX_LOG_LINES) this.logLines.shift();
  }
}
