import { giveUpstreamOrder } from "../giveUpstreamOrder.js";
import { requireWord } from "../lookup.js";
import type { Action } from "../types.js";

/** Takes no new work to an upstream; requests in flight end. */
export const actionDrain: Action = {
  name: "drain",
  keywords: ["stop", "empty", "maintenance"],
  usage: "drain UPSTREAM",
  example: "drain parts-1",
  perform: (ctx, statement) => {
    const name = requireWord(statement, 0, "an upstream");
    return giveUpstreamOrder(ctx, name, { kind: "drain" });
  },
};
