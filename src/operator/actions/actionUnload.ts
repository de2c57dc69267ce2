import { StatementError } from "../../query/index.js";
import { giveUpstreamOrder } from "../giveUpstreamOrder.js";
import { requireOption, requireWord } from "../lookup.js";
import type { Action } from "../types.js";

/** Unloads a model version from an engine when no request is in flight. */
export const actionUnload: Action = {
  name: "unload",
  keywords: ["model", "remove"],
  usage: "unload model NAME@VERSION on UPSTREAM",
  example: "unload model parts-8b@1 on parts-1",
  perform: (ctx, statement) => {
    const kindWord = requireWord(statement, 0, "model");
    if (kindWord.text !== "model")
      throw new StatementError("expected model", kindWord.at);
    const { text: value } = requireWord(statement, 1, "a name@version");
    const name = requireOption(statement, "on", "an engine");
    return giveUpstreamOrder(ctx, name, { kind: "unload-model", value });
  },
};
