/** Computes the traffic shares of sites for a cutover. */
import type { Config, Service } from "../config/index.js";
import { StatementError } from "../query/index.js";
import type { ParsedValue } from "../query/index.js";

const MAX_PERCENT = 100;

/**
 * Returns a service's shares by site, in percent. If none are declared, they
 * are proportional to the number of upstreams.
 */
const sharesOf = (service: Service): Record<string, number> => {
  if (service.shares !== undefined) return service.shares;
  const shares: Record<string, number> = {};
  const part = MAX_PERCENT / service.upstreams.length;
  for (const { site } of service.upstreams) {
    shares[site] = (shares[site] ?? 0) + part;
  }
  return shares;
};

/**
 * Sets the share of a site, in percent. The other sites share the rest in
 * their current proportions, or equally if they have none.
 */
export const moveShare = (
  shares: Record<string, number>,
  site: string,
  percent: number,
): Record<string, number> => {
  const others = Object.entries(shares).filter(([name]) => name !== site);
  const before = others.reduce((sum, [, share]) => sum + share, 0);
  const remaining = MAX_PERCENT - percent;
  const next: Record<string, number> = { [site]: percent };
  for (const [name, share] of others) {
    next[name] =
      before === 0 ? remaining / others.length : (share / before) * remaining;
  }
  return next;
};

/**
 * Returns the configuration with a site's share of a service set, in percent.
 * Throws a StatementError if the service has no upstream at the site, or if it
 * is the only site and would get less than 100 %.
 */
export const withShare = (
  config: Config,
  service: Service,
  site: ParsedValue,
  percent: number,
): Config => {
  const sites = new Set(service.upstreams.map((upstream) => upstream.site));
  if (!sites.has(site.text)) {
    const known = [...sites].join(", ");
    throw new StatementError(
      `${service.name} has no upstream at "${site.text}"; it has ${known}`,
      site.at,
    );
  }
  if (sites.size === 1 && percent < MAX_PERCENT) {
    throw new StatementError("the service stands at this site alone", site.at);
  }
  const shares = moveShare(sharesOf(service), site.text, percent);
  const services = config.services.map((item) =>
    item.name === service.name ? { ...item, shares } : item,
  );
  return { ...config, services };
};
