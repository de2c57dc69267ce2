/**
 * js-csp tasks under supervision. A throw inside a plain `go` block escapes
 * as an uncaught exception; here it is logged and the task starts again.
 */
import csp from "js-csp";
import type { Channel } from "js-csp";

import type { Log } from "../telemetry/index.js";
import { errText } from "../shared/utils.js";

/** The body of a task: a generator that yields csp instructions. */
export type TaskBody = () => Generator<unknown, void, unknown>;

/** What a promise came to, as a message on a channel. */
export type Outcome<T> = { ok: true; value: T } | { ok: false; err: unknown };

const RESTART_PAUSE_MS = 200;

/** Turns a promise into a channel that delivers its outcome once. */
export const settle = <T>(promise: Promise<T>): Channel<Outcome<T>> => {
  const channel = csp.chan<Outcome<T>>(1);
  promise.then(
    (value) => csp.putAsync(channel, { ok: true, value }),
    (err: unknown) => csp.putAsync(channel, { ok: false, err }),
  );
  return channel;
};

/** Owns the tasks of one process: starts, restarts and stops them. */
export class Supervisor {
  private readonly stopChannel = csp.chan<never>();
  private stopped = false;

  constructor(private readonly log: Log) {}

  get isStopped(): boolean {
    return this.stopped;
  }

  /** Runs a task until it returns; a throw restarts it after a pause. */
  start(name: string, body: TaskBody): void {
    csp.spawn(this.supervised(name, body));
  }

  /** Runs `step` every `periodMs` until the process stops. */
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

  /** A csp instruction that waits, but ends early when the process stops. */
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
        this.log.error(`task ${name} threw`, { cause: errText(err) });
        yield this.pause(RESTART_PAUSE_MS);
      }
    }
  }
}
