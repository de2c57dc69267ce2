/**
 * Remembers the last refusal of each route, so that an entry can refuse a
 * request without asking the lease holder. In a burst most requests are
 * refused; with too many in flight the holder answers late and entries place by
 * estimate, which makes more work for it. Pure.
 */
import type { PlacementAnswer, Refusal } from "../scheduling/index.js";

/**
 * Requests of one entry that may be in flight while its route is being refused.
 * A holder that keeps up answers in about 10 ms, so one or two usually are.
 */
const MAX_PENDING_ASKS = 4;
/** How long a refusal applies to other requests of the same route, ms. */
const REFUSAL_TTL_MS = 300;
const MAX_ROUTES = 256;

interface Refused {
  answer: Refusal;
  at: number;
}

export class RefusalCache {
  private readonly refused = new Map<string, Refused>();

  /** The cached refusal, if the request should be refused without asking. */
  recentRefusal(
    route: string,
    waiting: number,
    now: number,
  ): Refusal | undefined {
    if (waiting < MAX_PENDING_ASKS) return undefined;
    const last = this.refused.get(route);
    if (last === undefined || now - last.at > REFUSAL_TTL_MS) {
      return undefined;
    }
    return last.answer;
  }

  /** Records an answer of the holder; only `too-late` refusals are cached. */
  record(route: string, answer: PlacementAnswer, now: number): void {
    if (answer.kind === "granted" || answer.why !== "too-late") return;
    const isKnown = this.refused.has(route);
    if (!isKnown && this.refused.size >= MAX_ROUTES) this.refused.clear();
    this.refused.set(route, { answer, at: now });
  }
}
