/**
 * Collects the log lines of one request from the logs of several processes,
 * and as context the state changes that those processes logged around it.
 */
import { z } from "zod/v4";

/** A log line; its other fields depend on the message. */
const lineSchema = z.looseObject({
  time: z.iso.datetime(),
  process: z.string().default(""),
  message: z.string(),
});

export type LogLine = z.infer<typeof lineSchema>;

/** Log lines of a file. */
export interface ParsedLog {
  lines: LogLine[];
  /** Number of lines with invalid format. */
  unreadable: number;
}

/** Log lines of a request and their context, sorted by time. */
export interface RequestStory {
  own: LogLine[];
  /** Lines about its replicas and processes that may explain its outcome. */
  context: LogLine[];
}

/**
 * Context lines are included from this long before the request's first line to
 * this long after its last, ms. Clocks of VMs may differ by a large part of it.
 */
const CONTEXT_BEFORE_MS = 5000;
const CONTEXT_AFTER_MS = 1000;
/** Messages about state changes of a process, which count as context. */
const CONTEXT_MESSAGES: ReadonlySet<string> = new Set([
  "replica added",
  "replica changed",
  "replica vanished",
  "replica gone",
  "change of stage ordered",
  "change of stage ended",
  "configuration in force",
  "older configuration ignored",
  "configuration can't be read",
  "store lost",
  "store regained",
  "history gone: the list is read again",
  "holder lost",
  "placing through the holder",
  "lease taken",
  "lease lost",
  "lines omitted",
  "log lines dropped",
  "started",
  "stopping",
]);
/**
 * Messages about a request digest, across repeated sends of the same request
 * and all entries.
 */
const DIGEST_MESSAGES: ReadonlySet<string> = new Set([
  "replica ended",
  "request quarantined",
  "quarantine changed",
  "quarantine trial ended",
]);
/** Fields that contain a replica id. */
const REPLICA_FIELDS = ["replica", "reader", "runner", "donor"] as const;

/** Fields that are not printed. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(["level", "requestId"]);

/** Parses log lines; other text may precede a line's JSON object. */
export const parseLog = (text: string): ParsedLog => {
  const lines: LogLine[] = [];
  let unreadable = 0;
  for (const raw of text.split("\n")) {
    const at = raw.indexOf("{");
    if (at < 0) continue;
    const line = parseLine(raw.slice(at));
    if (line === undefined) unreadable += 1;
    else lines.push(line);
  }
  return { lines, unreadable };
};

const parseLine = (text: string): LogLine | undefined => {
  try {
    return lineSchema.parse(JSON.parse(text));
  } catch {
    // The caller counts and reports the lines left out.
    return undefined;
  }
};

const byTime = (left: LogLine, right: LogLine): number =>
  left.time.localeCompare(right.time);

const replicasIn = (lines: readonly LogLine[]): Set<string> => {
  const found = new Set<string>();
  for (const line of lines) {
    for (const field of REPLICA_FIELDS) {
      if (typeof line[field] === "string") found.add(line[field]);
    }
    const { sentTo } = line;
    if (typeof sentTo !== "string" || sentTo === "") continue;
    for (const id of sentTo.split(",")) found.add(id);
  }
  return found;
};

/** Digests in a line, from the `digest` field or the `digests` list. */
const digestsIn = ({ digest, digests }: LogLine): string[] =>
  [digest, digests].flatMap((text) =>
    typeof text === "string" ? text.split(",") : [],
  );

export const buildStory = (
  lines: readonly LogLine[],
  requestId: string,
): RequestStory => {
  const own = lines.filter((line) => line.requestId === requestId).sort(byTime);
  const first = own[0];
  const last = own.at(-1);
  if (first === undefined || last === undefined) return { own, context: [] };
  const from = Date.parse(first.time) - CONTEXT_BEFORE_MS;
  const until = Date.parse(last.time) + CONTEXT_AFTER_MS;
  const processes = new Set(own.map((line) => line.process));
  const replicas = replicasIn(own);
  const digests = new Set(own.flatMap(digestsIn));
  const isContext = (line: LogLine): boolean => {
    // Replicas that ended while running the same request, at any time.
    if (DIGEST_MESSAGES.has(line.message)) {
      return digestsIn(line).some((digest) => digests.has(digest));
    }
    if (!CONTEXT_MESSAGES.has(line.message)) return false;
    const at = Date.parse(line.time);
    if (at < from || at > until) return false;
    if (typeof line.replica === "string") return replicas.has(line.replica);
    return processes.has(line.process);
  };
  return { own, context: lines.filter(isContext).sort(byTime) };
};

const renderLine = ({ time, process, message, ...fields }: LogLine): string => {
  const rest = Object.entries(fields)
    .filter(([name, value]) => !HIDDEN_FIELDS.has(name) && value !== "")
    .map(([name, value]) => `${name}=${String(value)}`);
  return [time, process, message, ...rest].join("  ");
};

/** Renders a story as text: context first, then the request's own lines. */
export const renderStory = ({ own, context }: RequestStory): string => {
  const before = context.map((line) => `  ${renderLine(line)}`);
  return [
    ...(before.length > 0 ? ["what its processes believed:", ...before] : []),
    "the request:",
    ...own.map((line) => `  ${renderLine(line)}`),
  ].join("\n");
};
