/**
 * Whether what replicas say of themselves was heeded, by entry: which entry
 * sent a request is known from its caller. Pure: records in, violations out.
 */
import { findRateBreaches } from "../platform/standins/rateJudge.js";
import type { AnnouncedSignals } from "../platform/standins/replica.js";
import type {
  ArrivalRecord,
  SoakRecords,
  StallRecord,
  Violation,
} from "./types.js";

type Check = (records: SoakRecords) => Violation[];

/** The users' bounds on limits. */
const RATE_BOUNDS = { contactMs: 3000, windowMs: 4000 };
/** What befell an entry or the way to a replica excuses it for this, ms. */
const EXCUSED_MS = 3000;
/** What an answer says binds the entry that it went through after this, ms. */
const TOLD_MS = 500;
/** Requests of one entry within a back-off that was asked of it. */
const MOST_IN_BACK_OFF = 2;
/** A replica that says it leaves may still be sent to for this, ms. */
const LEAVING_MS = 2000;
const MS_PER_SECOND = 1000;
const SECONDS = /^\d+(\.\d+)?$/;

/** An arrival, and the life of the entry that sent it. */
interface Sent extends ArrivalRecord {
  entry: string;
  /** When its caller sent it. */
  askedAt: number;
}

/** By replica, in order of time; of no known caller: left out. */
const sentTo = ({
  arrivals,
  calls,
  probes,
}: SoakRecords): Map<string, Sent[]> => {
  const callers = new Map([...calls, ...probes].map((item) => [item.id, item]));
  const found = new Map<string, Sent[]>();
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

/** Faults that excuse the process, or the way to the replica, that they strike. */
const EXCUSES: readonly string[] = [
  "process killed",
  "process paused",
  "process stopped",
  "replica link",
];

/** Whether the entry or the way to the replica was harmed shortly before. */
const isExcused = (
  { faults }: SoakRecords,
  { entry, replica, at }: Sent,
): boolean => {
  const struck = [entry.split("/")[0], replica];
  return faults.some(
    ({ name, target, from, until }) =>
      struck.includes(target) &&
      EXCUSES.includes(name) &&
      from <= at &&
      until + EXCUSED_MS >= at,
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
const earliestAt = (
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
 * By life of an entry: when a caller first received the headers of an answer
 * that the replica signed and that named a limit.
 */
const firstForwarded = (
  { calls, probes, stalls }: SoakRecords,
  sent: readonly Sent[],
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

/** When the first answer that said it left for each life of an entry. */
const firstTold = (
  sent: readonly Sent[],
  says: (told: AnnouncedSignals) => boolean,
): Map<string, number> => {
  const told = new Map<string, number>();
  for (const { entry, at, told: signals } of sent) {
    if (says(signals) && !told.has(entry)) told.set(entry, at);
  }
  return told;
};

const limitsKept: Check = (records) =>
  [...sentTo(records)].flatMap(([replica, sent]) => {
    const named = records.limits.filter((item) => item.replica === replica);
    const told = firstForwarded(records, sent);
    const arrivals = sent
      .filter((item) => !isExcused(records, item))
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

const backOffsKept: Check = (records) =>
  [...sentTo(records)].flatMap(([replica, sent]) =>
    sent.flatMap(({ entry, at, told }) => {
      const until = at + backOffMs(told);
      const within = sent.filter(
        (item) =>
          item.entry === entry &&
          item.at >= at + TOLD_MS &&
          item.at < until &&
          !isExcused(records, item),
      );
      if (within.length <= MOST_IN_BACK_OFF) return [];
      const what = `${replica}: ${within.length} of ${entry} in a back-off`;
      return [{ promise: "back-offs are kept", what }];
    }),
  );

const leavingHeeded: Check = (records) =>
  [...sentTo(records)].flatMap(([replica, sent]) => {
    const told = firstTold(sent, ({ isLeaving }) => isLeaving);
    return sent.flatMap((item) => {
      const since = told.get(item.entry) ?? Infinity;
      const isLate =
        item.at > since + LEAVING_MS &&
        item.askedAt > since &&
        !isExcused(records, item);
      if (!isLate) return [];
      const what = `${replica} had told ${item.entry}, got ${item.requestId}`;
      return [{ promise: "no work for who says that it leaves", what }];
    });
  });

export const SIGNAL_CHECKS: readonly Check[] = [
  limitsKept,
  backOffsKept,
  leavingHeeded,
];
