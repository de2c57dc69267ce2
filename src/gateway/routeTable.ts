/** Selects the route and service of a request, without side effects. */
import type { Rng } from "../shared/rng.js";
import { hashFraction } from "../shared/utils.js";
import { Keyring } from "../workspaces/index.js";
import type {
  GatewayConfig,
  GatewayService,
  InboundHead,
  Route,
} from "./types.js";

/** The routes of one configuration, by host, longest prefix first. */
export class RouteTable {
  readonly version: number;
  private readonly byHost = new Map<string, Route[]>();
  private readonly services: Map<string, GatewayService>;
  /** Undefined if requests need no key. */
  readonly keyring: Keyring | undefined;

  constructor(readonly config: GatewayConfig) {
    this.version = config.version;
    const { workspaces } = config;
    this.keyring = workspaces && new Keyring(workspaces);
    this.services = new Map(config.services.map((item) => [item.name, item]));
    for (const route of config.routes) {
      const known = this.byHost.get(route.host) ?? [];
      known.push(route);
      this.byHost.set(route.host, known);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The route with the longest matching path prefix. */
  match(host: string, target: string): Route | undefined {
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    const routes = this.byHost.get(host);
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  service(name: string): GatewayService | undefined {
    return this.services.get(name);
  }

  serviceNames(): string[] {
    return [...this.services.keys()];
  }
}

/** Picks a service of the route by weight; undefined if there is none. */
const pickService = (route: Route, fraction: number): string | undefined => {
  const total = route.targets.reduce((sum, item) => sum + item.weight, 0);
  let remaining = fraction * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
};

/**
 * Draws a service of the route by weight. All tries of one resumable stream draw
 * the same one, at every entry: another service's events don't fit it.
 */
export const drawService = (
  route: Route,
  { id, resumption }: Pick<InboundHead, "id" | "resumption">,
  rng: Rng,
): string | undefined => {
  const streamId = resumption === undefined ? id : resumption.streamId;
  const isSplit = route.targets.length > 1;
  const isBound = isSplit && route.isResumable && streamId !== undefined;
  return pickService(route, isBound ? hashFraction(streamId) : rng());
};
