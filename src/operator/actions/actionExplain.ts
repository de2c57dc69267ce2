import { StatementError } from "../../query/index.js";
import { findService, requireWord } from "../lookup.js";
import type { Action, ActionResult, OperatorContext } from "../types.js";
import type { Service } from "../../config/index.js";

const explainRoute = (
  ctx: OperatorContext,
  service: Service,
  className: string,
): ActionResult => {
  const requestClass = service.classes.find((item) => item.name === className);
  const urgency = requestClass?.urgency ?? "normal";
  const deadlineMs = requestClass?.deadlineMs ?? 0;
  const now = ctx.now();
  const choice = ctx.router.choose(
    {
      service,
      phase: "whole",
      urgency,
      promptTokens: 0,
      outputTokens: 0,
      prefixes: [],
      deadlineAt: now + deadlineMs,
      tried: new Set(),
    },
    now,
  );
  if (choice === undefined) {
    return { kind: "message", text: "no upstream takes work now" };
  }
  const rows = choice.considered.map(({ id, expectedMs }) => ({
    upstream: id,
    expected_ms: Math.round(expectedMs),
    chosen: id === choice.upstream.id,
  }));
  const columns = ["upstream", "expected_ms", "chosen"];
  return { kind: "table", columns, rows };
};

/** Explains routing decisions and role plans. */
export const actionExplain: Action = {
  name: "explain",
  keywords: ["why", "route", "roles"],
  usage: "explain route SERVICE [class NAME] | explain roles SERVICE",
  example: "explain roles parts-model",
  perform: async (ctx, statement) => {
    const subject = requireWord(statement, 0, "route or roles");
    const service = findService(ctx, requireWord(statement, 1, "a service"));
    if (subject.text === "route") {
      const name = statement.options.class?.text ?? service.defaultClass;
      return explainRoute(ctx, service, name);
    }
    if (subject.text !== "roles") {
      throw new StatementError("expected route or roles", subject.at);
    }
    const plan = ctx.planOf(service.name);
    if (plan === undefined) {
      const { value } = await ctx.control.readControl(service.name);
      const holder = value.lease?.holder ?? "nobody";
      return {
        kind: "message",
        text: `${holder} plans these roles: ask there`,
      };
    }
    return { kind: "message", text: `${plan.kind}: ${plan.why}` };
  },
};
