/**
 * Checks that requests with a prompt part under which engines ended are held
 * back. Pure functions from records to violations.
 */
import { isWell } from "./streamChecks.js";
import type { CallRecord, Check, SoakRecords } from "./types.js";

/** Ends of engines after which requests with the part are counted. */
const COUNTED_AFTER_ENDS = 5;
/** Time after which all processes act on an end, ms, as in `contactMs`. */
const KNOWN_AFTER_MS = 3000;
/** Requests with the part that may reach engines after that. */
const MAX_LATER_REQUESTS = 3;

export interface PartCounts {
  part: string;
  ends: number;
  /** Requests with it that entries in touch sent on after the fifth end. */
  laterRequests: number;
  /** Share of the other requests for models that began, before and after. */
  soundBefore: number;
  soundAfter: number;
}

const shareBegun = (calls: readonly CallRecord[]): number =>
  calls.filter(({ status }) => status === 200).length /
  Math.max(1, calls.length);

const countsOf = (records: SoakRecords, part: string): PartCounts => {
  const { calls, arrivals, partEnds } = records;
  const ends = partEnds.filter((end) => end.part === part);
  const [first] = ends;
  const fifth = ends[COUNTED_AFTER_ENDS - 1];
  const entries = new Map(calls.map(({ id, entry }) => [id, entry]));
  const countedFrom = (fifth?.at ?? Infinity) + KNOWN_AFTER_MS;
  const later = arrivals.filter(
    ({ requestId, at, parts }) =>
      parts.includes(part) &&
      at > countedFrom &&
      isWell(records, entries.get(requestId) ?? "", at - KNOWN_AFTER_MS, at),
  );
  const sound = calls.filter(
    ({ parts, resumption }) =>
      parts !== undefined && !parts.includes(part) && resumption === undefined,
  );
  const firstAt = first?.at ?? Infinity;
  return {
    part,
    ends: ends.length,
    laterRequests: new Set(later.map(({ requestId }) => requestId)).size,
    soundBefore: shareBegun(sound.filter(({ sentAt }) => sentAt < firstAt)),
    soundAfter: shareBegun(sound.filter(({ sentAt }) => sentAt > countedFrom)),
  };
};

/** For each part that ended engines. */
export const partCounts = (records: SoakRecords): PartCounts[] => {
  const parts = new Set(records.partEnds.map(({ part }) => part));
  return [...parts].map((part) => countsOf(records, part));
};

const deadlyPartsAreHeldBack: Check = (records) =>
  partCounts(records)
    .filter(({ laterRequests }) => laterRequests > MAX_LATER_REQUESTS)
    .map(({ part, ends, laterRequests }) => ({
      promise: "parts that end engines are held back",
      what: `${laterRequests} requests with ${part} after its fifth end, ${ends} ends in all`,
    }));

export const PART_CHECKS: readonly Check[] = [deadlyPartsAreHeldBack];
