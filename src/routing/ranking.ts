/**
 * Ranks a service's upstreams for a prompt by rendezvous hashing, so that all
 * entries compute the same ranking without communication. Rankings are cached
 * by service object, which a new configuration replaces.
 */
import { LRUCache } from "lru-cache";

import type { Service, Upstream } from "../config/index.js";
import { hashText } from "./prefixes.js";

/** Ranked upstreams kept per prompt; no caller uses later ranks. */
const MAX_RANKED = 4;
const MAX_PROMPTS = 20_000;

interface ServiceIndex {
  byId: Map<string, Upstream>;
  ranked: LRUCache<string, Upstream[]>;
}

const indexes = new WeakMap<Service, ServiceIndex>();

const indexFor = (service: Service): ServiceIndex => {
  const cached = indexes.get(service);
  if (cached !== undefined) return cached;
  const fresh: ServiceIndex = {
    byId: new Map(service.upstreams.map((item) => [item.id, item])),
    ranked: new LRUCache({ max: MAX_PROMPTS }),
  };
  indexes.set(service, fresh);
  return fresh;
};

export const upstreamsById = (service: Service): Map<string, Upstream> =>
  indexFor(service).byId;

/** Returns the top-ranked upstreams for a prompt's first prefix. */
export const rankedUpstreams = (
  service: Service,
  prefix: string,
): Upstream[] => {
  const { ranked } = indexFor(service);
  const cached = ranked.get(prefix);
  if (cached !== undefined) return cached;
  const fresh = service.upstreams
    .map((upstream) => ({ upstream, rank: hashText(prefix + upstream.id) }))
    .sort((left, right) => (left.rank < right.rank ? 1 : -1))
    .slice(0, MAX_RANKED)
    .map((item) => item.upstream);
  ranked.set(prefix, fresh);
  return fresh;
};
