/**
 * Supervised js-csp tasks. An exception in a plain `go` block becomes an
 * uncaught exception; here it is logged and the task is restarted.
 */
import csp from "js-csp";
import type { Channel } from "js-csp";

import type { Log } from "../telemetry/index.js";
import { errText } from "../shared/utils.js";

/** The body of a task: a generator that yields csp instructions. */
export type TaskBody = () => Generator<unknown, void, unknown>;

/** Result of a promise, delivered on a channel. */
export type Outcome<T> = { ok: true; value: T } | { ok: false; err: unknown };

const RESTART_PAUSE_MS = 200;

/** Returns a channel that delivers the promise's outcome once. */
export const settle = <T>(promise: Promise<T>): Channel<Outcome<T>> => {
  const channel = csp.chan<Outcome<T>>(1);
  promise.then(
    (value) => csp.putAsync(channel, { ok: true, value }),
    (err: unknown) => csp.putAsync(channel, { ok: false, err }),
  );
  return channel;
};

/** Starts, restarts and stops the tasks of one process. */
export class Supervisor {
  private readonly stopChannel = csp.chan<never>();
  private stopped = false;

  constructor(private readonly log: Log) {}

  get isStopped(): boolean {
    return this.stopped;
  }

  /** Runs a task until it returns; restarts it after a pause if it throws. */
  start(name: string, body: TaskBody): void {
    csp.spawn(this.supervised(name, body));
  }

  /**
   * Runs `step` until the process stops, with a pause of `periodMs` after each
   * run. A rejected step is logged.
   */
  every(name: string, periodMs: number, step: () => Promise<void>): void {
    const pause = this.pause.bind(this);
    const isStopped = () => this.stopped;
    const log = this.log;
    this.start(name, function* () {
      while (!isStopped()) {
        const outcome = (yield csp.take(settle(step()))) as Outcome<void>;
        if (!outcome.ok) {
          log.warn(`${name} failed`, { cause: errText(outcome.err) });
        }
        yield pause(periodMs);
      }
    });
  }

  /** A csp instruction that waits, but returns early if the process stops. */
  pause(periodMs: number): unknown {
    return csp.alts([csp.timeout(periodMs), this.stopChannel]);
  }

  stop(): void {
    this.stopped = true;
    this.stopChannel.close();
  }

  private *supervised(
    name: string,
    body: TaskBody,
  ): Generator<unknown, void, unknown> {
    while (!this.stopped) {
      try {
        yield* body();
        return;
      } catch (err) {
        this.log.error(`task ${name} threw, restarting`, {
          cause: errText(err),
        });
        yield this.pause(RESTART_PAUSE_MS);
      }
    }
  }
}
