/**
 * Chooses the upstream for each request of an entry. Tracks the state of every
 * upstream, selects candidates and lets the policy pick one. Performs no I/O;
 * the current time and the random source are passed in.
 */
import { ROLES } from "../config/index.js";
import type { Service, Upstream } from "../config/index.js";
import type { Member } from "../membership/index.js";
import type { Rng } from "../shared/rng.js";
import {
  afterFailure,
  afterProbeSent,
  afterSuccess,
  isEjected,
  needsProbe,
  warmUpFraction,
} from "./health.js";
import { expectedWork, newUpstreamState, roleOf } from "./upstreamState.js";
import type { UpstreamState } from "./upstreamState.js";
import { BLOCK_TOKENS, PrefixIndex } from "./prefixes.js";
import { rankedUpstreams, upstreamsById } from "./ranking.js";
import type {
  Candidate,
  Choice,
  LoadReport,
  RouteRequest,
  RoutingPolicy,
} from "./types.js";

/** Share of a prompt assumed to be cached by its first and second rank. */
const RANK_CACHE_SHARES = [0.5, 0.25] as const;
const RANDOM_DRAWS = 3;
/** Up to this many upstreams, all are candidates; beyond it, a sample is. */
const MAX_FULL_SCAN = 8;
/** How long a refusal without a retry time excludes an upstream, ms. */
const DEFAULT_REFUSAL_MS = 250;
/** How long a `leaving` reply excludes an upstream unless it is repeated, ms. */
const LEAVING_EXCLUSION_MS = 10_000;

export class Router {
  private readonly states = new Map<string, UpstreamState>();
  private readonly prefixIndex = new PrefixIndex();

  constructor(
    private readonly policy: RoutingPolicy,
    private readonly rng: Rng,
  ) {}

  /** Returns the upstream to send to, or undefined if none is usable now. */
  choose(request: RouteRequest, now: number): Choice | undefined {
    const site = this.drawSite(request, now);
    const matches = this.expectedCache(request);
    const healthy = this.selectUpstreams(request, matches, site, now);
    const sample =
      healthy.length > 0 ? healthy : this.fallbackUpstreams(request, site, now);
    const candidates = sample.map((upstream) =>
      this.candidate(upstream, request.service, matches, now),
    );
    return this.policy.pick(candidates, request);
  }

  /**
   * Records a sent request. Returns the prefixes that are newly assumed to be
   * cached there; pass them to `onPromptNotCached` if the prompt is not read.
   */
  onSent(upstream: string, request: RouteRequest, now: number): string[] {
    const known = this.stateOf(upstream);
    known.ownInFlight += 1;
    known.sentCount += 1;
    const cached = this.prefixIndex.match(request.prefixes).get(upstream) ?? 0;
    known.sentTokens += Math.max(0, request.promptTokens - cached);
    const fresh = this.prefixIndex.missingFrom(upstream, request.prefixes);
    this.prefixIndex.add(upstream, request.prefixes);
    if (needsProbe(known.health, now)) {
      known.health = afterProbeSent(known.health, now);
    }
    return fresh;
  }

  /** The request was refused or lost, so its prompt was not read. */
  onPromptNotCached(upstream: string, prefixes: readonly string[]): void {
    this.prefixIndex.remove(upstream, prefixes);
  }

  /** A request ended, successfully or not. */
  onEnd(upstream: string): void {
    const known = this.stateOf(upstream);
    known.ownInFlight = Math.max(0, known.ownInFlight - 1);
    // A lost request brings no report, so nothing else would reset the count.
    known.sentCount = Math.max(0, known.sentCount - 1);
  }

  onSuccess(upstream: string, now: number): void {
    const known = this.stateOf(upstream);
    known.health = afterSuccess(known.health, now);
  }

  /** A request failed and the upstream is to blame. */
  onFailure(upstream: string, now: number, isUnreachable: boolean): void {
    const known = this.stateOf(upstream);
    known.health = afterFailure(known.health, now, isUnreachable);
    if (isUnreachable) this.prefixIndex.removeUpstream(upstream);
  }

  /** The side refused a request before it passed it to the upstream. */
  onRefusal(upstream: string, retryAfterMs: number, now: number): void {
    const pause = retryAfterMs > 0 ? retryAfterMs : DEFAULT_REFUSAL_MS;
    this.stateOf(upstream).refusedUntil = now + pause;
  }

  /** A side replied that its VM is leaving. */
  onLeaving(upstream: string, now: number): void {
    this.stateOf(upstream).refusedUntil = now + LEAVING_EXCLUSION_MS;
  }

  /** A side's membership changed, according to peers or the VM list. */
  onMember({ id, state, role }: Member, now: number): void {
    const known = this.stateOf(id);
    known.isLeaving = state === "leaving";
    known.announcedRole = ROLES.find((item) => item === role);
    if (known.announcedRole && known.report) {
      known.report = { ...known.report, role: known.announcedRole };
    }
    if (state === "alive")
      known.refusedUntil = Math.min(now, known.refusedUntil);
  }

  /** A reply carried a load report. */
  onReport(upstream: string, report: LoadReport, now: number): void {
    const known = this.stateOf(upstream);
    const isNewRole = known.report && known.report.role !== report.role;
    if (isNewRole) this.prefixIndex.removeUpstream(upstream);
    known.report = report;
    known.reportAt = now;
    known.sentTokens = 0;
    known.sentCount = 0;
  }

  /** Drops the state of upstreams that are no longer configured. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.states.keys()) {
      if (ids.has(id)) continue;
      this.states.delete(id);
      this.prefixIndex.removeUpstream(id);
    }
  }

  private stateOf(id: string): UpstreamState {
    const known = this.states.get(id);
    if (known !== undefined) return known;
    const fresh = newUpstreamState();
    this.states.set(id, fresh);
    return fresh;
  }

  /**
   * Estimates the prompt tokens in each upstream's cache, from the prompts that
   * this entry sent and from the ranking: all entries compute the same ranking,
   * so the first ranks may have cached the prompt for other entries.
   */
  private expectedCache(request: RouteRequest): Map<string, number> {
    const matches = this.prefixIndex.match(request.prefixes);
    const [first] = request.prefixes;
    if (first === undefined) return matches;
    const promptTokens = request.prefixes.length * BLOCK_TOKENS;
    const ranked = rankedUpstreams(request.service, first);
    RANK_CACHE_SHARES.forEach((share, rank) => {
      const id = ranked[rank]?.id;
      if (id === undefined) return;
      const known = matches.get(id) ?? 0;
      matches.set(id, Math.max(known, promptTokens * share));
    });
    return matches;
  }

  /** Whether the upstream's reported state and role allow the request. */
  private isOpen(
    upstream: Upstream,
    { tried, phase }: RouteRequest,
    now: number,
  ): boolean {
    if (tried.has(upstream.id)) return false;
    const known = this.stateOf(upstream.id);
    if (phase !== "whole" && roleOf(known) !== phase) return false;
    return !known.isLeaving && known.refusedUntil <= now;
  }

  private isUsable(
    upstream: Upstream,
    request: RouteRequest,
    now: number,
  ): boolean {
    const { health } = this.stateOf(upstream.id);
    return !isEjected(health, now) && this.isOpen(upstream, request, now);
  }

  /** Draws a site by the configured traffic shares; undefined allows any. */
  private drawSite(request: RouteRequest, now: number): string | undefined {
    const { shares, upstreams } = request.service;
    if (shares === undefined) return undefined;
    const sites = Object.entries(shares).filter(
      ([site, share]) =>
        share > 0 &&
        upstreams.some(
          (item) => item.site === site && this.isUsable(item, request, now),
        ),
    );
    const total = sites.reduce((sum, [, share]) => sum + share, 0);
    // No site with a share is usable: serving from another site beats failing.
    if (total === 0) return undefined;
    let draw = this.rng() * total;
    const drawn = sites.find(([, share]) => (draw -= share) < 0) ?? sites[0];
    return drawn?.[0];
  }

  /** Usable upstreams: all of a small fleet, a sample of a large one. */
  private selectUpstreams(
    request: RouteRequest,
    matches: Map<string, number>,
    site: string | undefined,
    now: number,
  ): Upstream[] {
    const { upstreams } = request.service;
    const isEligible = (upstream: Upstream) =>
      (site === undefined || upstream.site === site) &&
      this.isUsable(upstream, request, now);
    if (upstreams.length <= MAX_FULL_SCAN) return upstreams.filter(isEligible);
    const sample = new Set<Upstream>();
    for (const upstream of this.likelyCached(request, matches)) {
      if (isEligible(upstream)) sample.add(upstream);
    }
    for (let draw = 0; draw < RANDOM_DRAWS; draw += 1) {
      const item = upstreams[Math.floor(this.rng() * upstreams.length)];
      if (item !== undefined && isEligible(item)) sample.add(item);
    }
    // Rare: none of the sample is usable, so all upstreams are checked.
    return sample.size > 0 ? [...sample] : upstreams.filter(isEligible);
  }

  /** Open upstreams including ejected ones, used if all usable ones are ejected. */
  private fallbackUpstreams(
    request: RouteRequest,
    site: string | undefined,
    now: number,
  ): Upstream[] {
    return request.service.upstreams.filter((upstream) => {
      if (site !== undefined && upstream.site !== site) return false;
      return this.isOpen(upstream, request, now);
    });
  }

  /** Upstreams that may have the prompt cached. */
  private likelyCached(
    request: RouteRequest,
    matches: Map<string, number>,
  ): Upstream[] {
    const [first] = request.prefixes;
    if (first === undefined) return [];
    const ranked = rankedUpstreams(request.service, first);
    const byId = upstreamsById(request.service);
    const known = [...matches.keys()].map((id) => byId.get(id));
    return [...known.filter((item) => item !== undefined), ...ranked];
  }

  private candidate(
    upstream: Upstream,
    service: Service,
    matches: Map<string, number>,
    now: number,
  ): Candidate {
    const known = this.stateOf(upstream.id);
    const role = roleOf(known);
    return {
      upstream,
      role,
      paceMs: known.report?.paceMs ?? 0,
      work: expectedWork(known, service.capacity, role, now),
      ownInFlight: known.ownInFlight,
      cachedTokens: matches.get(upstream.id) ?? 0,
      warmUpFraction: warmUpFraction(known.health, now),
    };
  }
}
