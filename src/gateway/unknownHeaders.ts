/**
 * Headers of replicas' answers that this version does not know: each name is
 * logged once and counted, so that a new signal of replicas shows on the day
 * it first comes, and not when something has gone wrong by it.
 */
import type { Log, Metrics } from "../telemetry/index.js";

/** Names that are remembered; replicas may make up any number. */
const MAX_NAMES = 64;
/** Of a name in a log line. */
const MAX_LOGGED_CHARS = 80;

export class UnknownHeaders {
  private readonly seen = new Set<string>();

  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /** `names`: of one answer of that replica. */
  report(names: readonly string[], replica: string): void {
    for (const name of names) {
      if (this.seen.has(name) || this.seen.size >= MAX_NAMES) continue;
      this.seen.add(name);
      const header = name.slice(0, MAX_LOGGED_CHARS);
      this.metrics.count("unknown_header", { header });
      this.log.warn("unknown header of a replica", { header, replica });
    }
  }
}
