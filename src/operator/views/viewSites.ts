import type { View } from "../types.js";

/** Sites with their regions, failure domains and numbers of upstreams. */
export const viewSites: View = {
  name: "sites",
  columns: ["site", "region", "domain", "upstreams"],
  rows: async (ctx) => {
    const config = ctx.keeper.current?.config;
    const upstreams = (config?.services ?? []).flatMap(
      (service) => service.upstreams,
    );
    return (config?.fleet.sites ?? []).map((site) => ({
      site: site.name,
      region: site.region,
      domain: site.domain,
      upstreams: upstreams.filter((item) => item.site === site.name).length,
    }));
  },
};
