/**
 * Routing of one entry: which upstream a request goes to. It holds what is
 * known of each upstream and asks the policy to pick one of a few. No I/O;
 * the clock and the random source come in.
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

/** Part of a prompt that the first ranks are thought to hold unseen. */
const RANK_PRIOR = [0.5, 0.25] as const;
const RANDOM_DRAWS = 3;
/** A small fleet is looked at whole; a large one by a few candidates. */
const LOOK_AT_ALL = 8;
/** How long a refusal keeps an upstream out, where it names no time, ms. */
const REFUSAL_MS = 250;
/** How long news that an upstream leaves is believed without more, ms. */
const LEAVING_MS = 10_000;

export class Router {
  private readonly known = new Map<string, UpstreamState>();
  private readonly prefixIndex = new PrefixIndex();

  constructor(
    private readonly policy: RoutingPolicy,
    private readonly rng: Rng,
  ) {}

  /** The upstream to send to, or undefined where none may be used now. */
  choose(request: RouteRequest, now: number): Choice | undefined {
    const site = this.drawSite(request, now);
    const matches = this.expectedCache(request);
    const healthy = this.fewOf(request, matches, site, now);
    const few =
      healthy.length > 0 ? healthy : this.lastResort(request, site, now);
    const candidates = few.map((upstream) =>
      this.candidate(upstream, request.service, matches, now),
    );
    return this.policy.pick(candidates, request);
  }

  /**
   * A request was sent. Returns the prefixes that are thought to be cached
   * there because of it: `onPromptNotCached` takes them back.
   */
  onSent(upstream: string, request: RouteRequest, now: number): string[] {
    const known = this.of(upstream);
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

  /** The request was refused or lost: its prompt was not read there. */
  onPromptNotCached(upstream: string, prefixes: readonly string[]): void {
    this.prefixIndex.remove(upstream, prefixes);
  }

  /** A request ended, well or not. */
  onEnd(upstream: string): void {
    const known = this.of(upstream);
    known.ownInFlight = Math.max(0, known.ownInFlight - 1);
    // A lost request brings no report that would take it out of the count.
    known.sentCount = Math.max(0, known.sentCount - 1);
  }

  onSuccess(upstream: string, now: number): void {
    const known = this.of(upstream);
    known.health = afterSuccess(known.health, now);
  }

  /** A failure that speaks against the upstream. */
  onFailure(upstream: string, now: number, isUnreachable: boolean): void {
    const known = this.of(upstream);
    known.health = afterFailure(known.health, now, isUnreachable);
    if (isUnreachable) this.prefixIndex.removeUpstream(upstream);
  }

  /** The side refused before it wrote. */
  onRefusal(upstream: string, retryAfterMs: number, now: number): void {
    const pause = retryAfterMs > 0 ? retryAfterMs : REFUSAL_MS;
    this.of(upstream).refusedUntil = now + pause;
  }

  /** A side said that its VM is leaving. */
  onLeaving(upstream: string, now: number): void {
    this.of(upstream).refusedUntil = now + LEAVING_MS;
  }

  /** News of a side from peers or the VM list. */
  onMember({ id, state, role }: Member, now: number): void {
    const known = this.of(id);
    known.isLeaving = state === "leaving";
    known.announcedRole = ROLES.find((item) => item === role);
    if (known.announcedRole && known.report) {
      known.report = { ...known.report, role: known.announcedRole };
    }
    if (state === "alive")
      known.refusedUntil = Math.min(now, known.refusedUntil);
  }

  /** The load that a reply carried. */
  onReport(upstream: string, report: LoadReport, now: number): void {
    const known = this.of(upstream);
    const isNewRole = known.report && known.report.role !== report.role;
    if (isNewRole) this.prefixIndex.removeUpstream(upstream);
    known.report = report;
    known.reportAt = now;
    known.sentTokens = 0;
    known.sentCount = 0;
  }

  /** Drops what is known of upstreams that are not declared any more. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.known.keys()) {
      if (ids.has(id)) continue;
      this.known.delete(id);
      this.prefixIndex.removeUpstream(id);
    }
  }

  private of(id: string): UpstreamState {
    const known = this.known.get(id);
    if (known !== undefined) return known;
    const fresh = newUpstreamState();
    this.known.set(id, fresh);
    return fresh;
  }

  /**
   * Prompt tokens expected in each upstream's cache. What this entry sent is
   * known; beside it the upstreams that rank first for the prompt may hold
   * it from other entries, which all rank alike.
   */
  private expectedCache(request: RouteRequest): Map<string, number> {
    const matches = this.prefixIndex.match(request.prefixes);
    const [first] = request.prefixes;
    if (first === undefined) return matches;
    const shared = request.prefixes.length * BLOCK_TOKENS;
    const ranked = rankedUpstreams(request.service, first);
    RANK_PRIOR.forEach((prior, rank) => {
      const id = ranked[rank]?.id;
      if (id === undefined) return;
      const known = matches.get(id) ?? 0;
      matches.set(id, Math.max(known, shared * prior));
    });
    return matches;
  }

  /** Whether an upstream takes work, by its own word and its role. */
  private isOpen(
    upstream: Upstream,
    { tried, phase }: RouteRequest,
    now: number,
  ): boolean {
    if (tried.has(upstream.id)) return false;
    const known = this.of(upstream.id);
    if (phase !== "whole" && roleOf(known) !== phase) return false;
    return !known.isLeaving && known.refusedUntil <= now;
  }

  private isUsable(
    upstream: Upstream,
    request: RouteRequest,
    now: number,
  ): boolean {
    const { health } = this.of(upstream.id);
    return !isEjected(health, now) && this.isOpen(upstream, request, now);
  }

  /** The site that a cutover's shares draw, or undefined for any. */
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
    // Better the other site than nobody: a share is a wish, an answer a must.
    if (total === 0) return undefined;
    let draw = this.rng() * total;
    const drawn = sites.find(([, share]) => (draw -= share) < 0) ?? sites[0];
    return drawn?.[0];
  }

  /** A small fleet is looked at whole, a large one by a few candidates. */
  private fewOf(
    request: RouteRequest,
    matches: Map<string, number>,
    site: string | undefined,
    now: number,
  ): Upstream[] {
    const { upstreams } = request.service;
    const canTake = (upstream: Upstream) =>
      (site === undefined || upstream.site === site) &&
      this.isUsable(upstream, request, now);
    if (upstreams.length <= LOOK_AT_ALL) return upstreams.filter(canTake);
    const few = new Set<Upstream>();
    for (const upstream of this.preferred(request, matches)) {
      if (canTake(upstream)) few.add(upstream);
    }
    for (let draw = 0; draw < RANDOM_DRAWS; draw += 1) {
      const item = upstreams[Math.floor(this.rng() * upstreams.length)];
      if (item !== undefined && canTake(item)) few.add(item);
    }
    // Rare: all of the few are closed, so the whole list is looked through.
    return few.size > 0 ? [...few] : upstreams.filter(canTake);
  }

  /** Where every upstream is ejected, one of them is better than none. */
  private lastResort(
    request: RouteRequest,
    site: string | undefined,
    now: number,
  ): Upstream[] {
    return request.service.upstreams.filter((upstream) => {
      if (site !== undefined && upstream.site !== site) return false;
      return this.isOpen(upstream, request, now);
    });
  }

  /** Upstreams that may hold the prompt. */
  private preferred(
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
    const known = this.of(upstream.id);
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
