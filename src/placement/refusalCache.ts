/**
 * When an entry refuses a request without asking the holder. In a burst most
 * asks are refused; with too many under way the holder answers late, entries
 * place by guess, and that makes more work for it. Pure.
 */
import type { PlacementAnswer, Refusal } from "../scheduling/index.js";

/**
 * Asks of one entry that may be under way while its route is being refused.
 * A holder that keeps up answers in about 10 ms, so that one or two are.
 */
const MOST_WAITING = 4;
/** A refusal says this long that others of its route will be refused, ms. */
const REFUSAL_HOLDS_MS = 300;
const MAX_ROUTES = 256;

interface Refused {
  answer: Refusal;
  at: number;
}

export class RefusalCache {
  private readonly refused = new Map<string, Refused>();

  /** The refusal of a request that is not worth an ask now. */
  recentRefusal(
    route: string,
    waiting: number,
    now: number,
  ): Refusal | undefined {
    if (waiting < MOST_WAITING) return undefined;
    const last = this.refused.get(route);
    if (last === undefined || now - last.at > REFUSAL_HOLDS_MS) {
      return undefined;
    }
    return last.answer;
  }

  /** What the holder answered. */
  record(route: string, answer: PlacementAnswer, now: number): void {
    if (answer.kind === "granted" || answer.why !== "too-late") return;
    const isKnown = this.refused.has(route);
    if (!isKnown && this.refused.size >= MAX_ROUTES) this.refused.clear();
    this.refused.set(route, { answer, at: now });
  }
}
