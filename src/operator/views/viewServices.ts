import type { View } from "../types.js";

/** All services as configured. */
export const viewServices: View = {
  name: "services",
  columns: ["service", "kind", "models", "upstreams", "classes", "shares"],
  rows: async (ctx) =>
    (ctx.keeper.current?.config.services ?? []).map((service) => ({
      service: service.name,
      kind: service.kind,
      models: service.models
        .map((model) => `${model.name}@${model.version}`)
        .join(" "),
      upstreams: service.upstreams.length,
      classes: service.classes.map((item) => item.name).join(" "),
      shares: Object.entries(service.shares ?? {})
        .map(([site, share]) => `${site}=${Math.round(share)}%`)
        .join(" "),
    })),
};
