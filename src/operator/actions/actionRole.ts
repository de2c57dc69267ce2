import { ROLES } from "../../config/index.js";
import { StatementError } from "../../query/index.js";
import { giveUpstreamOrder } from "../giveUpstreamOrder.js";
import { requireOption, requireWord } from "../lookup.js";
import type { Action } from "../types.js";

/** Changes the role of an engine: mixed, prefill or decode. */
export const actionRole: Action = {
  name: "role",
  keywords: ["prefill", "decode", "mixed", "change"],
  usage: "role UPSTREAM to mixed|prefill|decode",
  example: "role parts-1 to decode",
  perform: (ctx, statement) => {
    const name = requireWord(statement, 0, "an engine");
    const { text, at } = requireOption(statement, "to", ROLES.join("|"));
    const value = ROLES.find((role) => role === text);
    if (value === undefined) {
      const known = ROLES.join(", ");
      throw new StatementError(`no role "${text}"; there are ${known}`, at);
    }
    return giveUpstreamOrder(ctx, name, { kind: "role", value });
  },
};
