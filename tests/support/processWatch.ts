/**
 * Watches the memory and descriptors of a child process, and kills it once its
 * resident memory passes a limit. Linux only: reads /proc.
 */
import { readdirSync, readFileSync } from "node:fs";
import type { ChildProcess } from "node:child_process";

const PERIOD_MS = 20;
const KB_PER_MB = 1024;

export class ProcessWatch {
  peakMb = 0;
  peakFds = 0;
  /** Whether it was killed for its memory. */
  isOver = false;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly child: ChildProcess,
    private readonly maxMb: number,
  ) {
    this.timer = setInterval(() => this.check(), PERIOD_MS);
  }

  /** Starts new peaks; what has ended stays ended. */
  reset(): void {
    this.peakMb = 0;
    this.peakFds = 0;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const folder = `/proc/${this.child.pid}`;
    try {
      const status = readFileSync(`${folder}/status`, "utf8");
      const memoryKb = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
      this.peakMb = Math.max(this.peakMb, memoryKb / KB_PER_MB);
      this.peakFds = Math.max(this.peakFds, readdirSync(`${folder}/fd`).length);
    } catch {
      // The process has ended.
      return this.stop();
    }
    if (this.peakMb <= this.maxMb) return;
    this.isOver = true;
    this.child.kill("SIGKILL");
    this.stop();
  }
}
