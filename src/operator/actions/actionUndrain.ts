import { giveUpstreamOrder } from "../giveUpstreamOrder.js";
import { requireWord } from "../lookup.js";
import type { Action } from "../types.js";

/** Resumes sending requests to a drained upstream. */
export const actionUndrain: Action = {
  name: "undrain",
  keywords: ["resume", "open", "return"],
  usage: "undrain UPSTREAM",
  example: "undrain parts-1",
  perform: (ctx, statement) => {
    const name = requireWord(statement, 0, "an upstream");
    return giveUpstreamOrder(ctx, name, { kind: "undrain" });
  },
};
