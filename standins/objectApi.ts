/**
 * In-memory stand-in for the platform's object API, with versions, conditional
 * updates and watches. `POST /faults` sets faults.
 */
import { readOptions, reply, serve } from "./support.js";
import type { Call } from "./support.js";

interface Faults {
  /** Every call is answered with 503. */
  down: boolean;
  /** Calls get no response. */
  silent: boolean;
  /** Delay added to each call, ms. */
  delayMs: number;
  /** Number of writes that take effect but get no response. */
  loseAnswers: number;
  /** Reads return the state at the time when this was switched on. */
  staleReads: boolean;
}

interface Stored {
  kind: string;
  name: string;
  version: number;
  writeId: string;
  value: unknown;
}

interface Waiter {
  kinds: string[];
  since: number;
  res: Call["res"];
  timer: NodeJS.Timeout;
}

const MAX_VALUE_BYTES = 1_048_576;
const MAX_EVENTS = 10_000;

const options = readOptions({ writesPerSecond: 400, readsPerSecond: 2000 });
const objects = new Map<string, Stored>();
let staleObjects: Map<string, Stored> | undefined;
let revision = 0;
const events: { kind: string; name: string; version: number }[] = [];
let waiters: Waiter[] = [];
let faults: Faults = {
  down: false,
  silent: false,
  delayMs: 0,
  loseAnswers: 0,
  staleReads: false,
};
const counters = { reads: 0, writes: 0, watches: 0, limited: 0 };
let currentSecond = 0;
let readsThisSecond = 0;
let writesThisSecond = 0;

const isLimited = (isWrite: boolean): boolean => {
  const now = Math.floor(Date.now() / 1000);
  if (now !== currentSecond)
    [currentSecond, readsThisSecond, writesThisSecond] = [now, 0, 0];
  if (isWrite) writesThisSecond += 1;
  else readsThisSecond += 1;
  const isOver =
    writesThisSecond > options.writesPerSecond ||
    readsThisSecond > options.readsPerSecond;
  if (isOver) counters.limited += 1;
  return isOver;
};

const answerWatch = (waiter: Waiter): boolean => {
  const found = events.filter(
    (event) =>
      event.version > waiter.since && waiter.kinds.includes(event.kind),
  );
  if (found.length === 0) return false;
  clearTimeout(waiter.timer);
  reply(waiter.res, 200, { revision, events: found });
  return true;
};

const watch = ({ url, res }: Call): void => {
  counters.watches += 1;
  const kinds = (url.searchParams.get("kinds") ?? "").split(",");
  const since = Number(url.searchParams.get("since") ?? 0);
  const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
  const timer = setTimeout(() => {
    waiters = waiters.filter((item) => item !== waiter);
    reply(res, 200, { revision, events: [] });
  }, waitMs);
  const waiter: Waiter = { kinds, since, res, timer };
  if (answerWatch(waiter)) return;
  waiters.push(waiter);
  res.on("close", () => {
    clearTimeout(timer);
    waiters = waiters.filter((item) => item !== waiter);
  });
};

const write = ({ req, res, body }: Call, kind: string, name: string): void => {
  counters.writes += 1;
  if (body.length > MAX_VALUE_BYTES) return reply(res, 413, {});
  const key = `${kind}/${name}`;
  const current = objects.get(key);
  const ifMatch = req.headers["if-match"];
  const expected = ifMatch ? Number(ifMatch.replace(/"/g, "")) : 0;
  if ((current?.version ?? 0) !== expected) {
    return reply(res, 409, { current });
  }
  revision += 1;
  const writeId = String(req.headers["x-write-id"] ?? "");
  const value: unknown = JSON.parse(body.toString("utf8"));
  objects.set(key, { kind, name, version: revision, writeId, value });
  events.push({ kind, name, version: revision });
  if (events.length > MAX_EVENTS) events.shift();
  waiters = waiters.filter((waiter) => !answerWatch(waiter));
  if (faults.loseAnswers > 0) {
    faults.loseAnswers -= 1;
    res.destroy();
    return;
  }
  reply(res, 200, { version: revision });
};

const read = ({ res }: Call, kind: string, name?: string): void => {
  counters.reads += 1;
  const source = staleObjects ?? objects;
  if (name === undefined) {
    const items = [...source.values()].filter((item) => item.kind === kind);
    return reply(res, 200, { items, revision });
  }
  const found = source.get(`${kind}/${name}`);
  reply(res, found ? 200 : 404, found ?? {});
};

const setFaults = ({ res, body }: Call): void => {
  faults = { ...faults, ...(JSON.parse(body.toString("utf8")) as Faults) };
  if (!faults.staleReads) staleObjects = undefined;
  else staleObjects ??= new Map(objects);
  if (faults.down || faults.silent) {
    for (const waiter of waiters) waiter.res.destroy();
    waiters = [];
  }
  reply(res, 200, faults);
};

const handle = async (call: Call): Promise<void> => {
  const { url, res, method } = call;
  if (url.pathname === "/faults") return setFaults(call);
  if (url.pathname === "/counters") return reply(res, 200, counters);
  if (faults.silent) return;
  if (faults.delayMs > 0) {
    await new Promise((resolve) => setTimeout(resolve, faults.delayMs));
  }
  if (faults.down) return reply(res, 503, {});
  if (url.pathname === "/v1/watch") {
    if (isLimited(false)) return reply(res, 429, {});
    return watch(call);
  }
  const [, , , kind, name] = url.pathname.split("/").map(decodeURIComponent);
  if (kind === undefined) return reply(res, 404, {});
  if (isLimited(method === "PUT")) return reply(res, 429, {});
  if (method === "PUT" && name !== undefined) return write(call, kind, name);
  read(call, kind, name);
};

await serve(handle);
