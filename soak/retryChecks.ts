/**
 * Checks the retries that replicas received against the budget, summed over all
 * entries and all their processes.
 */
import { worstWindow } from "../src/shared/worstWindow.js";
import type { RetryWindow } from "../src/shared/worstWindow.js";
import { groupBy } from "./groupBy.js";
import { IS_STREAM } from "./types.js";
import type { ArrivalRecord, Check, SoakRecords } from "./types.js";

/** The window in which a service received most retries of what is allowed. */
export interface RetryPeak extends RetryWindow {
  service: "model" | "plain";
}

/** When arrivals beyond the first, and the first prefill, of requests came. */
const retryTimes = (arrivals: readonly ArrivalRecord[]): number[] =>
  [...groupBy(arrivals, ({ requestId }) => requestId).values()].flatMap(
    (reached) => {
      const ordered = [...reached].sort((a, b) => a.at - b.at);
      const prefill = ordered.find(({ phase }) => phase === "read");
      const counted = ordered.filter((arrival) => arrival !== prefill);
      return counted.slice(1).map(({ at }) => at);
    },
  );

const peakOf = (
  { calls, probes, arrivals, retryLimits }: SoakRecords,
  service: RetryPeak["service"],
): RetryPeak | undefined => {
  const isStream = new Map(calls.map(({ id, kind }) => [id, IS_STREAM[kind]]));
  const own = ({ id }: { id: string }) =>
    (isStream.get(id) ?? false) === (service === "model");
  const sent = [...calls, ...probes].filter(own).map(({ sentAt }) => sentAt);
  const reached = arrivals.filter(({ requestId: id }) => own({ id }));
  const window = worstWindow(sent, retryTimes(reached), retryLimits);
  return window === undefined ? undefined : { ...window, service };
};

/** As the users count: in any window, for the requests of it or shortly before. */
export const retryPeaks = (records: SoakRecords): RetryPeak[] =>
  (["model", "plain"] as const).flatMap(
    (service) => peakOf(records, service) ?? [],
  );

const boundedRetries: Check = ({ calls, probes, runs, retryLimits }) => {
  const further = [...groupBy(runs, (run) => run.requestId).values()].reduce(
    (sum, ran) => sum + ran.length - 1,
    0,
  );
  const requests = calls.length + probes.length;
  const maxFurther = requests * retryLimits.ratio + retryLimits.burst;
  if (further <= maxFurther) return [];
  const what = `${further} further sends for ${requests} requests`;
  return [{ promise: "bounded retries", what }];
};

const boundedRetriesInWindows: Check = (records) =>
  retryPeaks(records)
    .filter(({ retries, allowed }) => retries > allowed)
    .map(({ service, from, retries, allowed }) => ({
      promise: "bounded retries in windows",
      what: `${retries} of ${allowed} retries at ${service} from ${from}`,
    }));

export const RETRY_CHECKS: readonly Check[] = [
  boundedRetries,
  boundedRetriesInWindows,
];
