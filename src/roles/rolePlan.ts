/**
 * Decides whether one engine of a service should change its role. Pure. A
 * change is planned only if it raises the share of the demand that the fleet
 * can serve over a horizon by more than the configured cost, and only with
 * recent reports from every engine. In doubt all roles are kept.
 */
import type { Role, Service } from "../config/index.js";
import { ROLES } from "../config/index.js";
import { decodeRate, prefillRate } from "../routing/loadModel.js";

/** The planner's input for one engine. */
export interface EngineReport {
  upstream: string;
  role: Role;
  /** False while the engine drains, changes its role or is unreachable. */
  isAvailable: boolean;
  /** Smoothed demand, prompt tokens per second. */
  prefillPerSecond: number;
  /** Smoothed demand, output tokens per second. */
  decodePerSecond: number;
  /** Age of this report, ms. */
  ageMs: number;
}

export interface RolePlanInput {
  service: Service;
  engines: EngineReport[];
  /** Time since the service's last role change, ms; Infinity if there was none. */
  sinceChangeMs: number;
  /** How long an engine is unavailable during a role change, ms. */
  roleChangeMs: number;
}

export type RolePlan =
  | { kind: "keep"; why: string }
  | { kind: "change"; upstream: string; role: Role; why: string };

/** Reports older than this block any change, ms. */
const MAX_REPORT_AGE_MS = 15_000;

type Counts = Record<Role, number>;

/** Demand of one second, in seconds of a mixed engine's time. */
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

/** Speed of a specialised engine at its own kind of work; see `ROLE_SPEED`. */
const OWN_WORK_SPEED = 1.3;
/** Speed of a specialised engine at the other kind of work. */
const OTHER_WORK_SPEED = 0.5;

/** Share of the demand that engines with these roles can serve, 0 to 1. */
export const servedShare = (counts: Counts, demand: Demand): number => {
  const total = demand.prefill + demand.decode;
  if (total === 0) return 1;
  let { prefill, decode } = demand;
  const fromPrefill = Math.min(prefill, counts.prefill * OWN_WORK_SPEED);
  const fromDecode = Math.min(decode, counts.decode * OWN_WORK_SPEED);
  prefill -= fromPrefill;
  decode -= fromDecode;
  const sparePrefill = counts.prefill - fromPrefill / OWN_WORK_SPEED;
  const spareDecode = counts.decode - fromDecode / OWN_WORK_SPEED;
  decode -= Math.min(decode, sparePrefill * OTHER_WORK_SPEED);
  prefill -= Math.min(prefill, spareDecode * OTHER_WORK_SPEED);
  const unserved = Math.max(0, prefill + decode - counts.mixed);
  return (total - unserved) / total;
};

const percent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const reasonToKeep = (input: RolePlanInput): string | undefined => {
  const { service, engines, sinceChangeMs } = input;
  const { dwellMs, automatic } = service.roles;
  if (service.kind !== "model") return "a plain service has no roles";
  if (!automatic) return "roles are left to operators";
  if (sinceChangeMs < dwellMs) return "the last change is too recent";
  const unavailable = engines.find((item) => !item.isAvailable);
  if (unavailable !== undefined) return `${unavailable.upstream} is away`;
  const stale = engines.find((item) => item.ageMs > MAX_REPORT_AGE_MS);
  if (stale !== undefined) return `news of ${stale.upstream} is stale`;
  if (engines.length < service.upstreams.length) return "an engine is silent";
  return undefined;
};

/** Plans at most one role change. */
export const planRole = (input: RolePlanInput): RolePlan => {
  const why = reasonToKeep(input);
  if (why !== undefined) return { kind: "keep", why };
  const { service, engines, roleChangeMs } = input;
  const { changeCost, horizonMs, mixedFloor } = service.roles;
  const counts = countsOf(engines);
  const demand = demandOf(input);
  const currentShare = servedShare(counts, demand);
  const unavailableShare =
    roleChangeMs / horizonMs / Math.max(1, engines.length);
  let best: { from: Role; to: Role; gain: number } | undefined;
  for (const from of ROLES) {
    if (counts[from] === 0) continue;
    if (from === "mixed" && counts.mixed <= mixedFloor) continue;
    for (const to of ROLES) {
      if (to === from) continue;
      const after = { ...counts, [from]: counts[from] - 1 };
      after[to] += 1;
      const gain = servedShare(after, demand) - currentShare - unavailableShare;
      if (best === undefined || gain > best.gain) best = { from, to, gain };
    }
  }
  const summary = `the roles as they are serve ${percent(currentShare)} of the work`;
  if (best === undefined || best.gain <= changeCost) {
    const gain = percent(Math.max(0, best?.gain ?? 0));
    const cost = percent(changeCost);
    const reason = `${summary}; the best change wins ${gain}, its cost is ${cost}`;
    return { kind: "keep", why: reason };
  }
  const { from, to, gain } = best;
  const leastLoaded = engines
    .filter((item) => item.role === from)
    .sort((left, right) => loadOf(left) - loadOf(right))[0];
  if (leastLoaded === undefined) return { kind: "keep", why: summary };
  const reason = `${summary}; ${from} to ${to} wins ${percent(gain)}`;
  return {
    kind: "change",
    upstream: leastLoaded.upstream,
    role: to,
    why: reason,
  };
};

const loadOf = (engine: EngineReport): number =>
  engine.prefillPerSecond + engine.decodePerSecond;
