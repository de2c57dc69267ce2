/** What all servers of a process allow callers together. */
import type { Server } from "node:http";

import type { Log, Metrics } from "../telemetry/index.js";
import { BufferReclaimer } from "./bufferReclaimer.js";
import { CallerConnections } from "./callerConnections.js";
import { callerLimits } from "./callerLimits.js";
import type { CallerLimits, ProcessLimits } from "./callerLimits.js";
import { CallerMemory } from "./callerMemory.js";

/** Requests without a complete response on one connection. */
const MAX_PENDING = 64;

export interface CallerBoundsOptions {
  log: Log;
  metrics: Metrics;
  now: () => number;
}

/** Bounds of one server that differ from those of the process. */
export interface ServerBounds {
  maxConnections?: number;
  maxPending?: number;
}

export class CallerBounds {
  readonly limits: CallerLimits;
  private readonly memory: CallerMemory;

  constructor(
    process: ProcessLimits,
    private readonly options: CallerBoundsOptions,
  ) {
    this.limits = callerLimits(process);
    const { maxHeldBytes, maxReleasedBytes } = this.limits;
    const reclaimer = new BufferReclaimer(maxReleasedBytes);
    this.memory = new CallerMemory(maxHeldBytes, options.now, reclaimer);
  }

  /** `server`: its name in the log and the counters. */
  guard(
    http: Server,
    server: string,
    { maxConnections = Infinity, maxPending = MAX_PENDING }: ServerBounds = {},
  ): CallerConnections {
    const { log, metrics, now } = this.options;
    return new CallerConnections(http, {
      maxConnections: Math.min(maxConnections, this.limits.maxConnections),
      maxPending,
      memory: this.memory,
      now,
      onClosed: (reason) => {
        metrics.count("caller_closed", { server, reason });
        log.warn("caller connection closed", { server, outcome: reason });
      },
    });
  }
}
