/**
 * Logs and counts response headers of replicas that this version does not
 * know, once per name, so that a new kind of replica signal is noticed when it
 * first appears rather than after it has caused a fault.
 */
import type { Log, Metrics } from "../telemetry/index.js";

/** Bound on remembered names, since replicas may send any number of them. */
const MAX_NAMES = 64;
/** Maximum length of a logged header name, characters; the rest is cut off. */
const MAX_LOGGED_CHARS = 80;

export class UnknownHeaders {
  private readonly seen = new Set<string>();

  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /** `names`: unknown headers in one response of `replica`. */
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
