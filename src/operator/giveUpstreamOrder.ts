/** Gives an order to an upstream and describes the result to the operator. */
import { randomUUID } from "node:crypto";

import type { OrderAction } from "../control/index.js";
import type { ParsedValue } from "../query/index.js";
import { findUpstream } from "./lookup.js";
import type { ActionResult, OperatorContext } from "./types.js";

export const giveUpstreamOrder = async (
  ctx: OperatorContext,
  name: ParsedValue,
  action: OrderAction,
): Promise<ActionResult> => {
  const { service, upstream } = findUpstream(ctx, name);
  const request = {
    id: randomUUID(),
    upstream: upstream.id,
    action,
    by: ctx.by,
  };
  const answer = await ctx.control.order(service.name, request);
  switch (answer.kind) {
    case "accepted": {
      const { seq, id } = answer.order;
      ctx.link
        .nudge(upstream.peerAddress, { upstream: upstream.id, seq })
        .catch(
          // The lease holder's control loop notifies the side again.
          () => undefined,
        );
      const text = `order ${seq} of ${upstream.id} accepted (${action.kind})`;
      return { kind: "message", text, order: id };
    }
    case "same":
      return { kind: "message", text: `${upstream.id} is so already` };
    case "lost": {
      const { seq, by, action: won } = answer.winner;
      const value = "value" in won ? ` ${won.value}` : "";
      const text =
        `refused: order ${seq} of ${upstream.id} (${won.kind}${value}, ` +
        `by ${by}) is still open`;
      return { kind: "refused", text };
    }
  }
};
