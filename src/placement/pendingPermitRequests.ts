/** Permit requests that the lease holder has not answered yet. */
import type { PermitReply } from "../gen/snowgate.js";
import type { PermitAnswer } from "../rateLimits/index.js";
import { fromPermitReply } from "./rateMessages.js";

/**
 * Timeout of a permit request, ms: plain requests have some hundred ms in all,
 * and there are other replicas.
 */
const ANSWER_TIMEOUT_MS = 40;
const MAX_NUMBER = 2 ** 32 - 1;

interface Pending {
  resolve(answer: PermitAnswer | undefined): void;
  timer: NodeJS.Timeout;
}

/**
 * The number of a permit request and its answer; undefined if there is none.
 */
export interface PendingPermitRequest {
  number: number;
  answer: Promise<PermitAnswer | undefined>;
}

export class PendingPermitRequests {
  private readonly requests = new Map<number, Pending>();
  private last = 0;

  open(): PendingPermitRequest {
    this.last = (this.last % MAX_NUMBER) + 1;
    const number = this.last;
    const answer = new Promise<PermitAnswer | undefined>((resolve) => {
      const timer = setTimeout(
        () => this.end(number, undefined),
        ANSWER_TIMEOUT_MS,
      );
      this.requests.set(number, { resolve, timer });
    });
    return { number, answer };
  }

  resolveReply(reply: PermitReply): void {
    this.end(reply.number, fromPermitReply(reply));
  }

  /** Resolves all pending requests without an answer. */
  close(): void {
    for (const number of [...this.requests.keys()]) this.end(number, undefined);
  }

  private end(number: number, answer: PermitAnswer | undefined): void {
    const open = this.requests.get(number);
    if (open === undefined) return;
    this.requests.delete(number);
    clearTimeout(open.timer);
    open.resolve(answer);
  }
}
