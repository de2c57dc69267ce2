/** Asks for permits that the holder has not answered yet. */
import type { PermitReply } from "../gen/snowgate.js";
import type { PermitAnswer } from "../rateLimits/index.js";
import { fromPermitReply } from "./rateMessages.js";

/**
 * An ask without an answer by then is given up, ms: plain requests have some
 * hundred ms in all, and there are other replicas.
 */
const ANSWER_MS = 40;
const MOST_NUMBER = 2 ** 32 - 1;

interface Open {
  resolve(answer: PermitAnswer | undefined): void;
  timer: NodeJS.Timeout;
}

/** An ask by its number, and what will be answered; undefined: nothing. */
export interface PendingPermitAsk {
  number: number;
  answer: Promise<PermitAnswer | undefined>;
}

export class PendingPermitAsks {
  private readonly asks = new Map<number, Open>();
  private last = 0;

  open(): PendingPermitAsk {
    this.last = (this.last % MOST_NUMBER) + 1;
    const number = this.last;
    const answer = new Promise<PermitAnswer | undefined>((resolve) => {
      const timer = setTimeout(() => this.end(number, undefined), ANSWER_MS);
      this.asks.set(number, { resolve, timer });
    });
    return { number, answer };
  }

  resolveReply(reply: PermitReply): void {
    this.end(reply.number, fromPermitReply(reply));
  }

  /** Nothing more is answered. */
  close(): void {
    for (const number of [...this.asks.keys()]) this.end(number, undefined);
  }

  private end(number: number, answer: PermitAnswer | undefined): void {
    const open = this.asks.get(number);
    if (open === undefined) return;
    this.asks.delete(number);
    clearTimeout(open.timer);
    open.resolve(answer);
  }
}
