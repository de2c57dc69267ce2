import { applyConfig } from "../../config/index.js";
import { StatementError } from "../../query/index.js";
import {
  currentConfig,
  findService,
  requireOption,
  requireWord,
} from "../lookup.js";
import { withShare } from "../shares.js";
import type { Action } from "../types.js";

const MAX_PERCENT = 100;

/** Sets a site's share of a service's traffic. */
export const actionCutover: Action = {
  name: "cutover",
  keywords: ["site", "share", "migrate", "move"],
  usage: "cutover SERVICE to SITE share PERCENT",
  example: "cutover parts-model to santander share 25",
  perform: async (ctx, statement) => {
    const service = findService(ctx, requireWord(statement, 0, "a service"));
    const site = requireOption(statement, "to", "a site");
    const share = requireOption(statement, "share", "a percentage");
    const percent = Number(share.text.replace("%", ""));
    if (!(percent >= 0 && percent <= MAX_PERCENT)) {
      throw new StatementError("expected 0 to 100", share.at);
    }
    const config = currentConfig(ctx);
    const changed = withShare(config, service, site, percent);
    const result = await applyConfig(ctx.store, ctx.keeper.current, changed);
    if (result.kind === "lost") {
      const text = `refused: configuration ${result.number} came first`;
      return { kind: "refused", text };
    }
    ctx.keeper.adopt(result.snapshot);
    const { number } = result.snapshot.head;
    const text = `configuration ${number}: ${site.text} takes ${percent}%`;
    return { kind: "message", text };
  },
};
