/**
 * Rendezvous ranking of a service's upstreams for a prompt: every entry ranks
 * alike without talking. Rankings are kept by service object, which a new
 * configuration replaces.
 */
import { LRUCache } from "lru-cache";

import type { Service, Upstream } from "../config/index.js";
import { hashText } from "./prefixes.js";

/** Ranks that are kept; later ones are never asked for. */
const KEPT_RANKS = 4;
const MAX_PROMPTS = 20_000;

interface ServiceIndex {
  byId: Map<string, Upstream>;
  ranked: LRUCache<string, Upstream[]>;
}

const indexes = new WeakMap<Service, ServiceIndex>();

const indexOf = (service: Service): ServiceIndex => {
  const known = indexes.get(service);
  if (known !== undefined) return known;
  const fresh: ServiceIndex = {
    byId: new Map(service.upstreams.map((item) => [item.id, item])),
    ranked: new LRUCache({ max: MAX_PROMPTS }),
  };
  indexes.set(service, fresh);
  return fresh;
};

export const upstreamsById = (service: Service): Map<string, Upstream> =>
  indexOf(service).byId;

/** The upstreams that rank first for a prompt's first prefix. */
export const rankedUpstreams = (
  service: Service,
  prefix: string,
): Upstream[] => {
  const { ranked } = indexOf(service);
  const known = ranked.get(prefix);
  if (known !== undefined) return known;
  const fresh = service.upstreams
    .map((upstream) => ({ upstream, rank: hashText(prefix + upstream.id) }))
    .sort((left, right) => (left.rank < right.rank ? 1 : -1))
    .slice(0, KEPT_RANKS)
    .map((item) => item.upstream);
  ranked.set(prefix, fresh);
  return fresh;
};
