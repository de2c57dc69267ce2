/** Logs each change of the store's era once, and counts restores. */
import type { Log, Metrics } from "../telemetry/index.js";
import type { EraUpdate } from "./position.js";

/** Maximum characters of an invalid era in a log line. */
const MAX_LOGGED_CHARS = 80;

export const newEraLogger = (
  log: Log,
  metrics: Metrics,
): ((news: EraUpdate) => void) => {
  let lastUnreadable: string | undefined;
  return (news) => {
    switch (news.kind) {
      case "same":
        return;
      case "first":
        return log.info("store era", { era: news.era });
      case "risen":
        metrics.count("store_went_back", {});
        return log.warn("store restored from a copy", {
          from: news.from,
          to: news.to,
        });
      case "past":
        return metrics.count("store_answer_past", {});
      case "unreadable": {
        if (news.text === lastUnreadable) return;
        lastUnreadable = news.text;
        const said = news.text.slice(0, MAX_LOGGED_CHARS);
        return log.warn("invalid store era", { said });
      }
    }
  };
};
