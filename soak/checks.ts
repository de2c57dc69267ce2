/**
 * Checks the promises of the system against what callers and upstreams
 * recorded. Pure functions from records to violations.
 */
import { DRAIN_MS } from "../platform/standins/settingsFile.js";
import { ATTEMPT_CHECKS } from "./attemptChecks.js";
import { groupBy } from "./groupBy.js";
import { PART_CHECKS } from "./partChecks.js";
import { RETRY_CHECKS } from "./retryChecks.js";
import { earliestAt, SIGNAL_CHECKS } from "./signalChecks.js";
import { STREAM_CHECKS } from "./streamChecks.js";
import { IS_STREAM, IS_RETRYABLE } from "./types.js";
import type {
  CallRecord,
  ChangeRecord,
  Check,
  SoakRecords,
  Violation,
} from "./types.js";

/** Number of events in a complete stream of the stand-in replicas. */
export const STREAM_EVENTS = 40;
/** Deadline that callers set for a request, ms. */
export const DEADLINE_MS = 2000;
/**
 * Time without unplanned faults before time bounds apply, ms: equals the
 * `contactMs` setting of the processes.
 */
const CALM_BEFORE_MS = 3000;
/**
 * Longest time until every process knows of a change, ms, with slack for a busy
 * machine.
 */
const MAX_PROPAGATION_MS = 4000;
/** Statuses that state that the request did not run and will not. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

const isSuccess = ({ status }: CallRecord): boolean =>
  status >= 200 && status < 300;

/** Whether no unplanned fault overlaps the given period. */
const isCalm = (records: SoakRecords, from: number, until: number): boolean =>
  records.faults.every(
    (fault) => fault.isPlanned || fault.until < from || fault.from > until,
  );

const answersAreComplete: Check = ({ calls }) =>
  calls.filter(isSuccess).flatMap((call) => {
    const { id, kind, events } = call;
    const problems: string[] = [];
    if (call.answerId !== id) problems.push(`names request ${call.answerId}`);
    if (call.signedBy === undefined) problems.push("is not signed");
    if (IS_STREAM[kind]) {
      const before = call.resumption?.lastEventId ?? 0;
      const isInOrder = events.every((event, at) => event === before + at + 1);
      if (!isInOrder) problems.push(`has events ${events.join(",")}`);
      if (call.isWhole && before + events.length !== STREAM_EVENTS) {
        problems.push(`ends as whole after ${events.length} events`);
      }
    } else if (call.isWhole && call.bodyBy !== call.signedBy) {
      problems.push(`is signed by ${call.signedBy}, of ${call.bodyBy}`);
    }
    return problems.map((problem) => ({
      promise: "whole answers",
      what: `answer to ${id} (${kind}) ${problem}`,
    }));
  });

const atMostOnce: Check = ({ calls, runs }) => {
  const byRequest = groupBy(runs, (run) => run.requestId);
  return calls
    .filter((call) => !IS_RETRYABLE[call.kind])
    .flatMap(({ id, kind }) => {
      const ran = byRequest.get(id) ?? [];
      if (ran.length <= 1) return [];
      const where = ran.map((run) => run.replica).join(", ");
      const what = `${id} (${kind}) ran ${ran.length} times: ${where}`;
      return [{ promise: "at most once", what }];
    });
};

const notRunAnswersHold: Check = ({ calls, runs }) => {
  const ran = new Set(runs.map((run) => run.requestId));
  return calls
    .filter((call) => !IS_RETRYABLE[call.kind])
    .filter(
      ({ status, id }) => NOT_RUN_STATUSES.includes(status) && ran.has(id),
    )
    .map(({ id, kind, status }) => ({
      promise: "not run is true",
      what: `${id} (${kind}) was told ${status} and ran`,
    }));
};

const onlySentRequestsRun: Check = ({ calls, probes, runs }) => {
  const sentIds = new Set([...calls, ...probes].map((item) => item.id));
  return runs
    .filter((run) => !sentIds.has(run.requestId))
    .map(({ requestId, replica }) => ({
      promise: "only what was asked runs",
      what: `${replica} ran ${requestId}, which no caller sent`,
    }));
};

const configNeverGoesBack: Check = ({ probes }) => {
  const violations: Violation[] = [];
  const lives = groupBy(probes, ({ entry, life }) => `${entry}/${life}`);
  for (const [life, processProbes] of lives) {
    for (const late of processProbes.filter((probe) => probe.status === 404)) {
      const before = processProbes.find(
        (probe) =>
          probe.version >= late.version &&
          probe.status !== 404 &&
          probe.status !== 0 &&
          probe.status !== 503 &&
          probe.endedAt < late.sentAt,
      );
      if (before === undefined) continue;
      const what = `${life} knew ${before.version}, then not ${late.version}`;
      violations.push({ promise: "configuration never goes back", what });
    }
  }
  return violations;
};

const isPropagationOverdue = (
  records: SoakRecords,
  change: ChangeRecord,
  at: number,
) =>
  at > change.at + MAX_PROPAGATION_MS &&
  isCalm(records, change.at - CALM_BEFORE_MS, at);

const changesTakeEffect: Check = (records) => {
  const violations: Violation[] = [];
  for (const change of records.news) {
    if (change.kind === "configuration") {
      for (const { version, sentAt, status, entry } of records.probes) {
        const isOverdue = isPropagationOverdue(records, change, sentAt);
        if (String(version) !== change.subject || !isOverdue) continue;
        if (status !== 404) continue;
        const what = `${entry} did not know ${version} in time`;
        violations.push({ promise: "configuration in force", what });
      }
    } else {
      for (const { replica, at, requestId } of records.runs) {
        if (replica !== change.subject) continue;
        if (!isPropagationOverdue(records, change, at)) continue;
        const what = `${replica} is leaving and got ${requestId}`;
        violations.push({ promise: "no work for leaving replicas", what });
      }
    }
  }
  return violations;
};

/** An arrival during a stall of the soak's process is recorded after it. */
const removedReplicasGetNothing: Check = ({ news, arrivals, stalls }) =>
  news
    .filter(({ kind }) => kind === "removed")
    .flatMap(({ subject, at: removedAt }) =>
      arrivals
        .filter(({ replica }) => replica === subject)
        .filter(({ at }) => earliestAt(stalls, at) > removedAt + DRAIN_MS)
        .map(({ requestId, at }) => ({
          promise: "no work for replicas that were removed",
          what: `${subject} got ${requestId} ${Math.round(at - removedAt)} ms later`,
        })),
    );

/**
 * A request that ran nowhere because its connection closed as it was sent does
 * not count as cut. Nor does one past its deadline: a machine that hangs for
 * seconds ends requests through no fault of the system.
 */
const plannedStopCutsNothing: Check = (records) => {
  const ran = new Set(records.runs.map((run) => run.requestId));
  return records.calls
    .filter((call) => (call.status === 0 || !call.isWhole) && ran.has(call.id))
    .filter((call) => call.endedAt - call.sentAt < DEADLINE_MS)
    .filter((call) =>
      isCalm(records, call.sentAt - CALM_BEFORE_MS, call.endedAt),
    )
    .flatMap(({ id, kind, entry, sentAt, endedAt }) => {
      const stop = records.faults.find(
        (fault) =>
          fault.isPlanned && fault.from <= endedAt && fault.until >= sentAt,
      );
      if (stop === undefined) return [];
      const what = `${id} (${kind}) at ${entry} was cut by ${stop.name}`;
      return [{ promise: "planned work cuts nothing", what }];
    });
};

const fencesHaveOneHolder: Check = ({ orders }) => {
  const violations: Violation[] = [];
  for (const [replica, taken] of groupBy(orders, (order) => order.replica)) {
    const holders = new Map<number, string>();
    let highest = 0;
    for (const { fence, holder } of taken) {
      const known = holders.get(fence) ?? holder;
      holders.set(fence, known);
      const isShared = known !== holder;
      if (isShared || fence < highest) {
        const what = `${replica}: fence ${fence} of ${holder} after ${highest}`;
        violations.push({ promise: "one holder", what });
      }
      highest = Math.max(highest, fence);
    }
  }
  return violations;
};

const noProcessEndsByItself: Check = ({ processEnds }) =>
  processEnds.map(({ process, at }) => ({
    promise: "no process ends by itself",
    what: `${process} at ${Math.round(at)}`,
  }));

const CHECKS: readonly Check[] = [
  answersAreComplete,
  atMostOnce,
  notRunAnswersHold,
  onlySentRequestsRun,
  configNeverGoesBack,
  changesTakeEffect,
  removedReplicasGetNothing,
  plannedStopCutsNothing,
  fencesHaveOneHolder,
  noProcessEndsByItself,
  ...ATTEMPT_CHECKS,
  ...SIGNAL_CHECKS,
  ...STREAM_CHECKS,
  ...PART_CHECKS,
  ...RETRY_CHECKS,
];

/** Returns every violation that the records prove. */
export const findViolations = (records: SoakRecords): Violation[] =>
  CHECKS.flatMap((check) => check(records));
