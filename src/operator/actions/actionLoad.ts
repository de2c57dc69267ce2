import type { OrderAction } from "../../control/index.js";
import { StatementError } from "../../query/index.js";
import { giveUpstreamOrder } from "../giveUpstreamOrder.js";
import { requireOption, requireWord } from "../lookup.js";
import type { Action } from "../types.js";

/** Loads an additional model version or adapter on an engine. */
export const actionLoad: Action = {
  name: "load",
  keywords: ["model", "adapter", "version"],
  usage: "load model|adapter NAME@VERSION on UPSTREAM",
  example: "load model parts-8b@2 on parts-1",
  perform: (ctx, statement) => {
    const kindWord = requireWord(statement, 0, "model or adapter");
    const { text: value } = requireWord(statement, 1, "a name@version");
    const name = requireOption(statement, "on", "an engine");
    const isKnown = kindWord.text === "model" || kindWord.text === "adapter";
    if (!isKnown)
      throw new StatementError("expected model or adapter", kindWord.at);
    const kind = kindWord.text === "model" ? "load-model" : "load-adapter";
    const action: OrderAction = { kind, value };
    return giveUpstreamOrder(ctx, name, action);
  },
};
