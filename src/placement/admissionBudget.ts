/**
 * Decides at an entry which requests ask the lease holder while the holder
 * admits only a share of each flow. Pure.
 */
import type { FlowKey, FlowRefusals, FlowShare } from "../scheduling/index.js";
import type { Rng } from "../shared/rng.js";

/**
 * How long a set of shares is in force, ms. The holder sends one every 100 ms;
 * after four lost or late ones in a row it no longer reflects the demand.
 */
const SHARES_TTL_MS = 500;
/**
 * Retries that a flow may admit beyond its credit. A caller that is refused a
 * second time gives up, so a short run of retries is let through.
 */
const MAX_RETRY_DEBT = 4;

interface FlowCredit {
  admit: number;
  /** Requests that may ask; below 1 the next first attempt is refused. */
  credit: number;
  /** Retries admitted beyond the credit, repaid from what retries earn. */
  debt: number;
}

/** Flows differ by route and workspace. */
const keyOf = ({ route, workspace }: FlowKey): string =>
  `${route}\n${workspace}`;

export class AdmissionBudget {
  private flows = new Map<string, FlowCredit>();
  private receivedAt = -Infinity;
  private readonly refused = new Map<string, FlowRefusals>();

  constructor(private readonly rng: Rng) {}

  /**
   * Replaces the shares; an empty set ends them. Flows that stay keep their
   * credit. New ones start at a random credit: an entry that sees one request
   * of a flow in a second would otherwise always refuse it.
   */
  update(shares: readonly FlowShare[], now: number): void {
    const before = this.isInForce(now) ? this.flows : undefined;
    this.flows = new Map();
    for (const { flow, admit } of shares) {
      const key = keyOf(flow);
      const { credit, debt } = before?.get(key) ?? {
        credit: this.rng(),
        debt: 0,
      };
      this.flows.set(key, { admit, credit, debt });
    }
    this.receivedAt = now;
  }

  /** Whether any flow is limited. */
  isInForce(now: number): boolean {
    return this.flows.size > 0 && now - this.receivedAt < SHARES_TTL_MS;
  }

  /** Whether a set that is in force limits this flow. */
  isLimited(flow: FlowKey, now: number): boolean {
    return this.isInForce(now) && this.flows.has(keyOf(flow));
  }

  /** Whether the request may ask; a request that may not is counted. */
  mayAsk(flow: FlowKey, isReturn: boolean, now: number): boolean {
    const held = this.isInForce(now) ? this.flows.get(keyOf(flow)) : undefined;
    if (held === undefined) return true;
    const isAdmitted = isReturn ? admitRetry(held) : admitFirst(held);
    if (!isAdmitted) this.countRefused(flow);
    return isAdmitted;
  }

  /** Counts a request that is refused without asking. */
  countRefused(flow: FlowKey): void {
    const key = keyOf(flow);
    const requests = (this.refused.get(key)?.requests ?? 0) + 1;
    this.refused.set(key, { flow, requests });
  }

  /** The requests refused since the last call. */
  takeRefused(): FlowRefusals[] {
    if (this.refused.size === 0) return [];
    const refused = [...this.refused.values()];
    this.refused.clear();
    return refused;
  }
}

const admitFirst = (held: FlowCredit): boolean => {
  held.credit += held.admit;
  if (held.credit < 1) return false;
  held.credit -= 1;
  return true;
};

/**
 * Retries repay their debt before they earn credit, so that a steady stream of
 * them can't take the credit of first attempts, which would all be late then.
 */
const admitRetry = (held: FlowCredit): boolean => {
  const repaid = Math.min(held.debt, held.admit);
  held.debt -= repaid;
  held.credit += held.admit - repaid;
  if (held.credit >= 1) {
    held.credit -= 1;
    return true;
  }
  if (held.debt + 1 > MAX_RETRY_DEBT) return false;
  held.debt += 1;
  return true;
};
