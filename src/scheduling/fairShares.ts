/**
 * Flows of requests, and the share of each that is admitted under contention.
 * Pure; times are ms.
 */
import { LRUCache } from "lru-cache";

import { DecayingSum } from "../shared/decayingSum.js";
import { RunningMean } from "../shared/runningMean.js";
import { Contention } from "./contention.js";
import { fairLevel } from "./maxMin.js";

/** The requests of one route and one workspace. */
export interface FlowKey {
  route: string;
  /** Empty if the caller has no workspace. */
  workspace: string;
  /** 0 is the most urgent. */
  priority: number;
}

/** How much of a flow's demand is admitted, from 0 to 1. */
export interface FlowShare {
  flow: FlowKey;
  admit: number;
}

/** Requests of one flow that an entry refused by its shares. */
export interface FlowRefusals {
  flow: FlowKey;
  requests: number;
}

/**
 * Time constant of the rates of demand and work, ms. Bursts last for seconds,
 * and a rate over less time is noise for a flow of few requests a second.
 */
const RATE_TIME_CONSTANT_MS = 1000;
/**
 * Capacity is the rate of granted work times this factor, so that more is
 * admitted as soon as the engines can do more.
 */
const PROBE_FACTOR = 1.1;
/** Each step of priority in use doubles the weight of a route. */
const URGENCY_WEIGHT = 2;
/** Most flows tracked; the least recently used is evicted. */
const MAX_FLOWS = 1024;
/**
 * Levels used for admission are recomputed after this time, ms: rates change
 * by a twentieth within it, and 1,000 flows take half a ms.
 */
const LEVELS_INTERVAL_MS = 50;
/**
 * Flows with less demand left than this, ms of work, ask for nothing any more.
 */
const MIN_DEMAND_MS = 0.001;
/** Weight of a new value in the running mean of work per request. */
const MEAN_WORK_GAIN = 0.02;

interface Flow {
  key: FlowKey;
  /** Names route and priority. */
  routeId: string;
  demand: DecayingSum;
  /** Work of requests granted or queued; expired ones are deducted. */
  admitted: DecayingSum;
  /** Work of one request, ms. */
  meanWorkMs: RunningMean;
}

/** Flows of one route and priority, with their current demand. */
interface RouteFlows {
  priority: number;
  demand: number;
  flows: { id: string; key: FlowKey; demand: number; weight: 1 }[];
}

interface FlowLevel {
  /** Largest rate of the flow; Infinity if it is not limited. */
  rate: number;
  /** Whether other workspaces send requests of its route. */
  hasPeers: boolean;
}

const newRate = (): DecayingSum => new DecayingSum(RATE_TIME_CONSTANT_MS);

const idOf = ({ route, workspace, priority }: FlowKey): string =>
  `${priority}\n${route}\n${workspace}`;

/**
 * Divides the engines' time among flows while requests contend for it: first
 * among routes by urgency, then among the workspaces of a route. All work is in
 * ms of engine time, all rates are work per ms.
 */
export class FairShares {
  /**
   * `minCapacity`: rate of work that the engines can do in any case. The rate
   * of grants alone would be too low where a burst begins after little demand.
   */
  constructor(
    private readonly minCapacity: (now: number) => number = () => 0,
  ) {}

  private readonly flows = new LRUCache<string, Flow>({ max: MAX_FLOWS });
  private readonly contention = new Contention();
  private readonly granted = newRate();
  private readonly meanWork = new RunningMean(MEAN_WORK_GAIN);
  private levels = new Map<string, FlowLevel>();
  private levelsAt = -Infinity;

  recordDemand(key: FlowKey, workMs: number, now: number): void {
    const flow = this.flowOf(key);
    flow.demand.add(workMs, now);
    flow.meanWorkMs.add(workMs);
    this.meanWork.add(workMs);
  }

  /** `workMs`: work of one request. */
  recordRefusedElsewhere(
    key: FlowKey,
    requests: number,
    workMs: number,
    now: number,
  ): void {
    this.flowOf(key).demand.add(requests * workMs, now);
  }

  /** Records work that starts now. */
  recordGranted(key: FlowKey, workMs: number, now: number): void {
    // Keeps the flow from being evicted.
    this.flowOf(key);
    this.granted.add(workMs, now);
  }

  /** Records work that was granted or queued. */
  recordAdmitted(key: FlowKey, workMs: number, now: number): void {
    this.flowOf(key).admitted.add(workMs, now);
  }

  /** Reverts `recordAdmitted` for a queued request that was not granted. */
  revertAdmitted(key: FlowKey, workMs: number, now: number): void {
    const { admitted } = this.flowOf(key);
    const reverted = Math.min(
      workMs,
      admitted.rate(now) * RATE_TIME_CONSTANT_MS,
    );
    admitted.add(-reverted, now);
  }

  recordContention(now: number): void {
    this.contention.record(now);
  }

  isContended(now: number): boolean {
    return this.contention.isActive(now);
  }

  /** Mean work of one request of a flow, or of all where it is unknown, ms. */
  meanWorkMs(key: FlowKey): number {
    const own = this.flows.get(idOf(key))?.meanWorkMs.value ?? 0;
    return own > 0 ? own : this.meanWork.value;
  }

  /**
   * Ratio of the work admitted for a flow to its share, where `overdraw` more
   * requests are allowed; 0 if the flow is not limited.
   */
  usage(key: FlowKey, overdraw: number, now: number): number {
    if (!this.isContended(now)) return 0;
    this.updateLevels(now);
    const level = this.levels.get(idOf(key))?.rate ?? Infinity;
    if (level === Infinity) return 0;
    const { admitted, meanWorkMs } = this.flowOf(key);
    const extra = (overdraw * meanWorkMs.value) / RATE_TIME_CONSTANT_MS;
    return admitted.rate(now) / Math.max(Number.MIN_VALUE, level + extra);
  }

  /** Whether other workspaces send requests of the flow's route. */
  hasPeers(key: FlowKey, now: number): boolean {
    this.updateLevels(now);
    return this.levels.get(idOf(key))?.hasPeers ?? false;
  }

  /** The share of each flow's demand to admit; empty without contention. */
  shares(now: number): FlowShare[] {
    if (!this.isContended(now)) return [];
    return this.divide(now).flatMap(({ flows, level }) =>
      flows.map(({ key, demand }) => ({
        flow: key,
        admit: Math.min(1, level / demand),
      })),
    );
  }

  private updateLevels(now: number): void {
    if (now - this.levelsAt < LEVELS_INTERVAL_MS) return;
    this.levelsAt = now;
    this.levels = new Map(
      this.divide(now).flatMap(({ flows, level }) =>
        flows.map(({ id }): [string, FlowLevel] => [
          id,
          { rate: level, hasPeers: flows.length > 1 },
        ]),
      ),
    );
  }

  /** Divides capacity; `level` is the largest rate of one flow of a route. */
  private divide(now: number): { flows: RouteFlows["flows"]; level: number }[] {
    const routes = this.demandByRoute(now);
    const ranks = [...new Set(routes.map(({ priority }) => priority))].sort(
      (left, right) => right - left,
    );
    const claims = routes.map(({ priority, demand }) => ({
      demand,
      weight: URGENCY_WEIGHT ** ranks.indexOf(priority),
    }));
    const capacity = Math.max(
      this.granted.rate(now) * PROBE_FACTOR,
      this.minCapacity(now),
    );
    const routeLevel = fairLevel(claims, capacity);
    return routes.map(({ flows }, at) => {
      const { demand, weight } = claims[at]!;
      const share = Math.min(demand, routeLevel * weight);
      if (share >= demand) return { flows, level: Infinity };
      return { flows, level: fairLevel(flows, share) };
    });
  }

  private demandByRoute(now: number): RouteFlows[] {
    const routes = new Map<string, RouteFlows>();
    this.flows.forEach(({ key, routeId, demand }, id) => {
      const rate = demand.rate(now);
      if (rate * RATE_TIME_CONSTANT_MS < MIN_DEMAND_MS) return;
      const { priority } = key;
      const known = routes.get(routeId) ?? { priority, demand: 0, flows: [] };
      known.demand += rate;
      known.flows.push({ id, key, demand: rate, weight: 1 });
      routes.set(routeId, known);
    });
    return [...routes.values()];
  }

  private flowOf(key: FlowKey): Flow {
    const id = idOf(key);
    const known = this.flows.get(id);
    if (known !== undefined) return known;
    const { route, workspace, priority } = key;
    const fresh = {
      key: { route, workspace, priority },
      routeId: `${priority}\n${route}`,
      demand: newRate(),
      admitted: newRate(),
      meanWorkMs: new RunningMean(MEAN_WORK_GAIN),
    };
    this.flows.set(id, fresh);
    return fresh;
  }
}
