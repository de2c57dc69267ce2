import type { View } from "../types.js";

/** Members of the fleet as known to this entry. */
export const viewMembers: View = {
  name: "members",
  columns: ["id", "kind", "state", "domain", "role", "address"],
  rows: async (ctx) =>
    ctx.membership.all().map((member) => ({
      id: member.id,
      kind: member.kind,
      state: member.state,
      domain: member.domain,
      role: member.role,
      address: member.peerAddress,
    })),
};
