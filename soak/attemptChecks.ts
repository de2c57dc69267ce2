/** Checks on how many replicas a request runs. */
import { testConfig } from "../platform/standins/deployment.js";
import { groupBy } from "./groupBy.js";
import { CALL_PATHS } from "./types.js";
import type { CallKind, Check, FaultRecord, RunRecord } from "./types.js";

/** Faults in which a replica ends or is cut off. */
const LOSSES: readonly string[] = ["replica crashed", "replica link"];

const { routes } = testConfig(1);

/** Attempts of its route; none if no route fits. */
const maxAttemptsOf = (kind: CallKind): number => {
  const path = CALL_PATHS[kind];
  const route = routes.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  return route?.maxAttempts ?? 0;
};

const hasBeenLost = (
  { replica, at }: RunRecord,
  until: number,
  faults: readonly FaultRecord[],
): boolean =>
  faults.some(
    ({ name, target, from, until: end }) =>
      LOSSES.includes(name) && target === replica && from < until && end > at,
  );

/** A replica that ended or was cut off while the request ran does not count. */
const withinMaxAttempts: Check = ({ calls, runs, faults, partEnds }) => {
  const byRequest = groupBy(runs, (run) => run.requestId);
  const ended = new Set(partEnds.map(({ replica }) => replica));
  return calls.flatMap(({ id, kind, endedAt }) => {
    const counted = (byRequest.get(id) ?? []).filter(
      (run) => !ended.has(run.replica) && !hasBeenLost(run, endedAt, faults),
    );
    const replicas = new Set(counted.map(({ replica }) => replica));
    if (replicas.size <= maxAttemptsOf(kind)) return [];
    const what = `${id} (${kind}) ran on ${[...replicas].join(", ")}`;
    return [{ promise: "no more replicas than allowed", what }];
  });
};

export const ATTEMPT_CHECKS: readonly Check[] = [withinMaxAttempts];
