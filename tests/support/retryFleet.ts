/**
 * Entries with retry budgets in virtual time: they start, serve, are killed and
 * start again, and their arrivals are counted over all of them.
 */
import { RetryBudgets } from "../../src/gateway/retryBudgets.js";
import type {
  RetryLimits,
  RetryPermit,
} from "../../src/gateway/retryBudgets.js";

const SERVICE = "s";

export interface RetryFleetOptions {
  limits: RetryLimits;
  entries: number;
  /** Entries that each of them knows of; undefined: not counted. */
  counted: number | undefined;
}

/** What the platform sees of one service. Times are in ms. */
export class RetryFleet {
  now = 0;
  /** When callers sent requests, whether an entry was there or not. */
  readonly requests: number[] = [];
  /** When sends beyond the first of a request arrived. */
  readonly retries: number[] = [];
  /** By entry; undefined while it is down. */
  private readonly processes: (RetryBudgets | undefined)[];

  constructor(private readonly options: RetryFleetOptions) {
    this.processes = Array.from({ length: options.entries }, () =>
      this.newProcess(true),
    );
  }

  kill(entry: number): void {
    this.processes[entry] = undefined;
  }

  restart(entry: number): void {
    this.processes[entry] ??= this.newProcess(false);
  }

  /** A request that is sent up to `retries` more times as far as allowed. */
  request(entry: number, retries: number, sendsEach = 1): void {
    this.requests.push(this.now);
    const budgets = this.processes[entry];
    budgets?.recordRequest(SERVICE);
    for (let at = 0; at < retries; at += 1) {
      const permit = budgets?.acquire(SERVICE, sendsEach);
      if (permit !== undefined) this.send(permit, sendsEach);
    }
  }

  private send(permit: RetryPermit, sends: number): void {
    for (let at = 0; at < sends; at += 1) this.retries.push(this.now);
    permit.settle();
  }

  private newProcess(isFirstStart: boolean): RetryBudgets {
    const { limits, counted } = this.options;
    const owner = { entries: () => counted, isFirstStart };
    return new RetryBudgets(limits, owner, () => this.now);
  }
}
