import { filterRows, StatementError } from "../../query/index.js";
import { requireWord } from "../lookup.js";
import type { Action } from "../types.js";
import { VIEWS } from "../views/index.js";

/** Shows a table, filtered by the statement's conditions. */
export const actionShow: Action = {
  name: "show",
  keywords: ["list", "table", "state", "where"],
  usage: `show ${VIEWS.map((view) => view.name).join("|")} [where ...]`,
  example: "show engines where site = bilbao and state = draining",
  perform: async (ctx, statement) => {
    const tableName = requireWord(statement, 0, "a table");
    const view = VIEWS.find((item) => item.name === tableName.text);
    if (view === undefined) {
      const known = VIEWS.map((item) => item.name).join(", ");
      const text = `no table "${tableName.text}"; there are ${known}`;
      throw new StatementError(text, tableName.at);
    }
    const all = await view.rows(ctx);
    const rows = filterRows(all, view.columns, statement);
    return { kind: "table", columns: view.columns, rows };
  },
};
