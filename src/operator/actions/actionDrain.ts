import { giveUpstreamOrder } from "../giveUpstreamOrder.js";
import { requireWord } from "../lookup.js";
import type { Action } from "../types.js";

/** Stops sending new requests to an upstream; requests in flight complete. */
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
