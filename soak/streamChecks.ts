/**
 * Checks that each stream holds events of one software version, over all tries
 * of its caller, and that enough of the streams that are taken up go on. Pure
 * functions from records to violations.
 */
import type { CallRecord, Check, EngineRecord, SoakRecords } from "./types.js";

/** Time without a fault after which an entry counts as well, ms. */
const WELL_AFTER_MS = 3000;
/** Time after which all processes know of an engine, ms. */
const KNOWN_AFTER_MS = 1500;
/** Least number of resumptions whose share is judged. */
const MIN_RESUMPTIONS = 12;
/** Least share of streams that go on, relative to new ones that begin. */
const MIN_RELATIVE_SHARE = 0.5;
/** Engines of its version that have to serve while a stream is judged. */
const MIN_ENGINES = 2;

/** The request that began a stream; the caller's own if it names a wrong one. */
const streamOf = ({ id, resumption }: CallRecord): string =>
  resumption?.isTrue === true ? resumption.streamId : id;

/** Versions in the events of each stream, by the stream's first request. */
const versionsByStream = ({ calls }: SoakRecords): Map<string, Set<string>> => {
  const found = new Map<string, Set<string>>();
  for (const call of calls) {
    const versions = found.get(streamOf(call)) ?? new Set();
    for (const version of call.versions) versions.add(version ?? "none");
    found.set(streamOf(call), versions);
  }
  return found;
};

const oneVersionAStream: Check = (records) =>
  [...versionsByStream(records)].flatMap(([stream, versions]) => {
    if (versions.size <= 1) return [];
    const what = `${stream} has events of ${[...versions].join(", ")}`;
    return [{ promise: "one version a stream", what }];
  });

/** Whether no fault hit the target in this time. */
export const isWell = (
  { faults }: SoakRecords,
  target: string,
  from: number,
  until: number,
): boolean =>
  !faults.some(
    (fault) =>
      (fault.target === target || COMMON_TARGETS.includes(fault.target)) &&
      fault.from <= until &&
      fault.until >= from,
  );

/** Targets whose faults hit all processes. */
const COMMON_TARGETS: readonly string[] = ["store", "connections"];

const servesThroughout = (
  records: SoakRecords,
  { replica, from, until }: EngineRecord,
  { sentAt, endedAt }: CallRecord,
): boolean =>
  from + KNOWN_AFTER_MS <= sentAt &&
  until >= endedAt &&
  isWell(records, replica, sentAt, endedAt);

/** Whether enough engines of a version served during the call; any if unset. */
const hasEngines = (
  records: SoakRecords,
  call: CallRecord,
  version: string | undefined,
): boolean => {
  const serving = records.engines.filter(
    (item) =>
      (version === undefined || item.version === version) &&
      servesThroughout(records, item, call),
  );
  return serving.length >= MIN_ENGINES;
};

export interface StreamShares {
  /** Streams taken up at well entries while engines of their version served. */
  resumed: number;
  /** Share of these that brought a further event. */
  goOn: number;
  /** Share of new resumable streams that began, under the same conditions. */
  begin: number;
}

const shareWithEvents = (calls: readonly CallRecord[]): number =>
  calls.filter(({ events }) => events.length > 0).length /
  Math.max(1, calls.length);

export const streamShares = (records: SoakRecords): StreamShares => {
  const versions = versionsByStream(records);
  const judged = records.calls.filter(
    ({ kind, entry, sentAt, endedAt, resumption }) =>
      kind === "resumable" &&
      resumption?.isTrue !== false &&
      isWell(records, entry, sentAt - WELL_AFTER_MS, endedAt),
  );
  const resumed = judged.filter((call) => {
    if (call.resumption === undefined) return false;
    const [version = "none"] = versions.get(streamOf(call)) ?? [];
    return hasEngines(records, call, version);
  });
  const begun = judged.filter(
    (call) =>
      call.resumption === undefined && hasEngines(records, call, undefined),
  );
  return {
    resumed: resumed.length,
    goOn: shareWithEvents(resumed),
    begin: shareWithEvents(begun),
  };
};

const takenUpStreamsGoOn: Check = (records) => {
  const { resumed, goOn, begin } = streamShares(records);
  if (resumed < MIN_RESUMPTIONS || goOn >= begin * MIN_RELATIVE_SHARE)
    return [];
  const what = `${goOn.toFixed(2)} of ${resumed} went on, ${begin.toFixed(2)} of new ones began`;
  return [{ promise: "streams that are taken up go on", what }];
};

export const STREAM_CHECKS: readonly Check[] = [
  oneVersionAStream,
  takenUpStreamsGoOn,
];
