/** Logs when requests of a service begin and cease to contend for engines. */
import type { FlowShare } from "../scheduling/index.js";
import type { Log } from "../telemetry/index.js";

export class ContentionLog {
  private readonly contended = new Set<string>();

  constructor(private readonly log: Log) {}

  /** `shares`: the service's current shares; empty without contention. */
  update(service: string, shares: readonly FlowShare[]): void {
    const isContended = shares.length > 0;
    if (isContended === this.contended.has(service)) return;
    if (!isContended) {
      this.contended.delete(service);
      return this.log.info("contention for engines ended", { service });
    }
    this.contended.add(service);
    const limited = shares.filter(({ admit }) => admit < 1);
    this.log.info("contention for engines began", {
      service,
      flows: shares.length,
      limited: limited.length,
      leastAdmit: Math.min(...shares.map(({ admit }) => admit)),
    });
  }
}
