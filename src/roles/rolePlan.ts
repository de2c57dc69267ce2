/**
 * Whether one engine of a service should change its role. Pure. A change is
 * made only where the share of the work that the fleet can serve grows by
 * more than the declared cost of a change, over a horizon, on fresh news
 * from every engine. In doubt nothing is changed.
 */
import type { Role, Service } from "../config/index.js";
import { ROLES } from "../config/index.js";
import { decodeRate, prefillRate } from "../routing/loadModel.js";

/** What the planner hears of one engine. */
export interface EngineReport {
  upstream: string;
  role: Role;
  /** False while it drains, changes or can't be reached. */
  isAvailable: boolean;
  /** Prompt tokens asked of it in a second, smoothed. */
  prefillPerSecond: number;
  /** Output tokens asked of it in a second, smoothed. */
  decodePerSecond: number;
  /** Age of this news, ms. */
  ageMs: number;
}

export interface RolePlanInput {
  service: Service;
  engines: EngineReport[];
  /** Since the last change of the service, ms; Infinity: never. */
  sinceChangeMs: number;
  /** How long a change takes an engine away, ms. */
  roleChangeMs: number;
}

export type RolePlan =
  | { kind: "keep"; why: string }
  | { kind: "change"; upstream: string; role: Role; why: string };

/** News older than this is not acted on, ms. */
const STALE_MS = 15_000;

type Counts = Record<Role, number>;

/** Work of one second, in seconds of a mixed engine. */
interface Demand {
  prefill: number;
  decode: number;
}

const demandOf = ({ service, engines }: RolePlanInput): Demand => {
  const { capacity } = service;
  const prefill = engines.reduce((sum, item) => sum + item.prefillPerSecond, 0);
  const decode = engines.reduce((sum, item) => sum + item.decodePerSecond, 0);
  const decodeCapacity = decodeRate(capacity, "mixed") * capacity.maxSequences;
  return {
    prefill: prefill / prefillRate(capacity, "mixed"),
    decode: decode / decodeCapacity,
  };
};

const countsOf = (engines: EngineReport[]): Counts => {
  const counts: Counts = { mixed: 0, prefill: 0, decode: 0 };
  for (const item of engines) counts[item.role] += 1;
  return counts;
};

const SPECIAL_SPEED = 1.3;
const OTHER_SPEED = 0.5;

/** Share of the demand that a fleet of these roles can serve, 0 to 1. */
export const servedShare = (counts: Counts, demand: Demand): number => {
  const total = demand.prefill + demand.decode;
  if (total === 0) return 1;
  let { prefill, decode } = demand;
  const fromPrefill = Math.min(prefill, counts.prefill * SPECIAL_SPEED);
  const fromDecode = Math.min(decode, counts.decode * SPECIAL_SPEED);
  prefill -= fromPrefill;
  decode -= fromDecode;
  const sparePrefill = counts.prefill - fromPrefill / SPECIAL_SPEED;
  const spareDecode = counts.decode - fromDecode / SPECIAL_SPEED;
  decode -= Math.min(decode, sparePrefill * OTHER_SPEED);
  prefill -= Math.min(prefill, spareDecode * OTHER_SPEED);
  const left = Math.max(0, prefill + decode - counts.mixed);
  return (total - left) / total;
};

const percent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const obstacle = (question: RolePlanInput): string | undefined => {
  const { service, engines, sinceChangeMs } = question;
  const { dwellMs, automatic } = service.roles;
  if (service.kind !== "model") return "a plain service has no roles";
  if (!automatic) return "roles are left to operators";
  if (sinceChangeMs < dwellMs) return "the last change is too recent";
  const away = engines.find((item) => !item.isAvailable);
  if (away !== undefined) return `${away.upstream} is away`;
  const stale = engines.find((item) => item.ageMs > STALE_MS);
  if (stale !== undefined) return `news of ${stale.upstream} is stale`;
  if (engines.length < service.upstreams.length) return "an engine is silent";
  return undefined;
};

/** Plans at most one change. */
export const planRole = (question: RolePlanInput): RolePlan => {
  const why = obstacle(question);
  if (why !== undefined) return { kind: "keep", why };
  const { service, engines, roleChangeMs } = question;
  const { changeCost, horizonMs, mixedFloor } = service.roles;
  const counts = countsOf(engines);
  const demand = demandOf(question);
  const now = servedShare(counts, demand);
  const lostWhileAway = roleChangeMs / horizonMs / Math.max(1, engines.length);
  let best: { from: Role; to: Role; gain: number } | undefined;
  for (const from of ROLES) {
    if (counts[from] === 0) continue;
    if (from === "mixed" && counts.mixed <= mixedFloor) continue;
    for (const to of ROLES) {
      if (to === from) continue;
      const after = { ...counts, [from]: counts[from] - 1 };
      after[to] += 1;
      const gain = servedShare(after, demand) - now - lostWhileAway;
      if (best === undefined || gain > best.gain) best = { from, to, gain };
    }
  }
  const can = `the roles as they are serve ${percent(now)} of the work`;
  if (best === undefined || best.gain <= changeCost) {
    const gain = percent(Math.max(0, best?.gain ?? 0));
    const cost = percent(changeCost);
    const reason = `${can}; the best change wins ${gain}, its cost is ${cost}`;
    return { kind: "keep", why: reason };
  }
  const { from, to, gain } = best;
  const idlest = engines
    .filter((item) => item.role === from)
    .sort((left, right) => workOf(left) - workOf(right))[0];
  if (idlest === undefined) return { kind: "keep", why: can };
  const reason = `${can}; ${from} to ${to} wins ${percent(gain)}`;
  return { kind: "change", upstream: idlest.upstream, role: to, why: reason };
};

const workOf = (engine: EngineReport): number =>
  engine.prefillPerSecond + engine.decodePerSecond;
