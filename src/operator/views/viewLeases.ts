import type { View } from "../types.js";

/** The lease holder of each service, which runs its control loop. */
export const viewLeases: View = {
  name: "leases",
  columns: ["service", "holder", "epoch"],
  rows: async (ctx) => {
    const services = ctx.keeper.current?.config.services ?? [];
    return Promise.all(
      services.map(async ({ name }) => {
        const { value } = await ctx.control.readControl(name);
        return {
          service: name,
          holder: value.lease?.holder ?? "",
          epoch: value.lease?.epoch ?? 0,
        };
      }),
    );
  },
};
