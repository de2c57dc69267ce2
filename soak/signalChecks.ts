/**
 * Checks that each entry respects what replicas signal: limits, back-offs and
 * leaving. The record of the caller tells which entry sent a request. Pure
 * functions from records to violations.
 */
import { findRateBreaches } from "../platform/standins/rateJudge.js";
import type { AnnouncedSignals } from "../platform/standins/replica.js";
import type {
  ArrivalRecord,
  Check,
  SoakRecords,
  StallRecord,
} from "./types.js";

/** Bounds for the check of rate limits, as the users require. */
const RATE_BOUNDS = { contactMs: 3000, windowMs: 4000 };
/**
 * Requests are exempt for this long after a fault of the entry or of the link
 * to the replica, ms.
 */
const FAULT_RECOVERY_MS = 3000;
/** An entry must apply the signals of an answer after this time, ms. */
const SIGNAL_DELAY_MS = 500;
/** Most requests of one entry within a back-off that it was asked for. */
const MAX_REQUESTS_IN_BACK_OFF = 2;
/** A replica may still receive requests for this long after it says that it
 * leaves, ms. */
const LEAVING_GRACE_MS = 2000;
const MS_PER_SECOND = 1000;
const SECONDS = /^\d+(\.\d+)?$/;

/** An arrival with the entry process that sent it. */
interface SentRequest extends ArrivalRecord {
  entry: string;
  /** When the caller sent it. */
  askedAt: number;
}

/**
 * Arrivals by replica, in order of time. Leaves out those without a known
 * caller.
 */
const requestsByReplica = ({
  arrivals,
  calls,
  probes,
}: SoakRecords): Map<string, SentRequest[]> => {
  const callers = new Map([...calls, ...probes].map((item) => [item.id, item]));
  const found = new Map<string, SentRequest[]>();
  for (const arrival of arrivals) {
    const caller = callers.get(arrival.requestId);
    if (caller === undefined) continue;
    const { entry: name, life, sentAt: askedAt } = caller;
    const list = found.get(arrival.replica) ?? [];
    list.push({ ...arrival, entry: `${name}/${life}`, askedAt });
    found.set(arrival.replica, list);
  }
  return found;
};

/** Faults that exempt the process or the replica link that they hit. */
const EXEMPTING_FAULTS: readonly string[] = [
  "process killed",
  "process paused",
  "process stopped",
  "replica link",
];

/** Whether a fault hit the entry or the replica link shortly before. */
const isExempt = (
  { faults }: SoakRecords,
  { entry, replica, at }: SentRequest,
): boolean => {
  const targets = [entry.split("/")[0], replica];
  return faults.some(
    ({ name, target, from, until }) =>
      targets.includes(target) &&
      EXEMPTING_FAULTS.includes(name) &&
      from <= at &&
      until + FAULT_RECOVERY_MS >= at,
  );
};

/** Time to process events queued during a stall, as a fraction of the stall. */
const BACKLOG_FRACTION = 0.1;
/** Lower bound on the time to process events queued during a stall, ms. */
const MIN_BACKLOG_MS = 100;

/**
 * The earliest time at which an event recorded at `recordedAt` may have
 * occurred: events that arrive during a stall are recorded after it.
 */
export const earliestAt = (
  stalls: readonly StallRecord[],
  recordedAt: number,
): number => {
  let at = recordedAt;
  for (const { from, until } of [...stalls].reverse()) {
    const backlogMs = (until - from) * BACKLOG_FRACTION;
    const backlogEndsAt = until + Math.max(MIN_BACKLOG_MS, backlogMs);
    if (from < at && at <= backlogEndsAt) at = from;
  }
  return at;
};

/**
 * By entry process: when a caller first received the headers of an answer that
 * the replica signed and that named a limit.
 */
const firstForwardedLimit = (
  { calls, probes, stalls }: SoakRecords,
  sent: readonly SentRequest[],
): Map<string, number> => {
  const callers = new Map([...calls, ...probes].map((item) => [item.id, item]));
  const forwarded = new Map<string, number>();
  for (const { entry, replica, requestId, told } of sent) {
    const { headAt, signedBy } = callers.get(requestId) ?? {};
    if (!told.isLimited || headAt === undefined) continue;
    if (signedBy !== replica) continue;
    const at = earliestAt(stalls, headAt);
    forwarded.set(entry, Math.min(at, forwarded.get(entry) ?? Infinity));
  }
  return forwarded;
};

/** When the replica first sent the signal to each entry process. */
const firstSignalled = (
  sent: readonly SentRequest[],
  matches: (signals: AnnouncedSignals) => boolean,
): Map<string, number> => {
  const firstAt = new Map<string, number>();
  for (const { entry, at, told: signals } of sent) {
    if (matches(signals) && !firstAt.has(entry)) firstAt.set(entry, at);
  }
  return firstAt;
};

const limitsRespected: Check = (records) =>
  [...requestsByReplica(records)].flatMap(([replica, sent]) => {
    const named = records.limits.filter((item) => item.replica === replica);
    const told = firstForwardedLimit(records, sent);
    const arrivals = sent
      .filter((item) => !isExempt(records, item))
      .map((item) => ({ ...item, at: earliestAt(records.stalls, item.at) }));
    const [first] = findRateBreaches({ arrivals, named, told }, RATE_BOUNDS);
    if (first === undefined) return [];
    const { at, got, allowed } = first;
    const what = `${replica} got ${got} of ${allowed} from ${Math.round(at)}`;
    return [{ promise: "no more than a replica takes", what }];
  });

const backOffMs = ({ backOff }: AnnouncedSignals): number =>
  backOff !== undefined && SECONDS.test(backOff)
    ? Number(backOff) * MS_PER_SECOND
    : 0;

const backOffsRespected: Check = (records) =>
  [...requestsByReplica(records)].flatMap(([replica, sent]) =>
    sent.flatMap(({ entry, at, told }) => {
      const until = at + backOffMs(told);
      const within = sent.filter(
        (item) =>
          item.entry === entry &&
          item.at >= at + SIGNAL_DELAY_MS &&
          item.at < until &&
          !isExempt(records, item),
      );
      if (within.length <= MAX_REQUESTS_IN_BACK_OFF) return [];
      const what = `${replica}: ${within.length} of ${entry} in a back-off`;
      return [{ promise: "back-offs are kept", what }];
    }),
  );

const leavingRespected: Check = (records) =>
  [...requestsByReplica(records)].flatMap(([replica, sent]) => {
    const toldAt = firstSignalled(sent, ({ isLeaving }) => isLeaving);
    return sent.flatMap((item) => {
      const since = toldAt.get(item.entry) ?? Infinity;
      const isLate =
        item.at > since + LEAVING_GRACE_MS &&
        item.askedAt > since &&
        !isExempt(records, item);
      if (!isLate) return [];
      const what = `${replica} had told ${item.entry}, got ${item.requestId}`;
      return [{ promise: "no work for who says that it leaves", what }];
    });
  });

export const SIGNAL_CHECKS: readonly Check[] = [
  limitsRespected,
  backOffsRespected,
  leavingRespected,
];
