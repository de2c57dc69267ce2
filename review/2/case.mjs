/**
 * An engine spoils one answer: a stream without a single line end. The entry
 * that relays it stands still, and answers nobody.
 */
import http from "node:http";
import path from "node:path";

import { HOST, modelHeaders, send } from "../lib/client.mjs";
import { Engine, streamHead, writeStream } from "../lib/engine.mjs";
import { Fleet, newConfig } from "../lib/fleet.mjs";
import { sleep } from "../lib/http.mjs";
import { isQuiet, runCase } from "../lib/record.mjs";

/** Doses that the site file names for `garble`. */
const GARBLE_MS = 5500;
const GARBLED_SHARE = 0.02;
/** The longest answer of the sheet: 214 pieces of 1,900 bytes. */
const SPOILT_BYTES = 214 * 1900;
const REQUESTS_PER_S = 90;
/** Later than the first changes of stage that the system orders. */
const GARBLE_FROM_MS = 5000;
const PLAY_MS = 12_000;
const ROUTE_TIMEOUT_MS = 2000;
const DEADLINE_MS = 5000;
const ASK_DEADLINE_MS = 15_000;
/** The rule looks this long after the route's time. */
const JUDGED_AFTER_MS = ROUTE_TIMEOUT_MS + 500;
const MIN_UNANSWERED = 8;
const MIN_UNANSWERED_SHARE = 0.25;
/** How long the end of the stand-still is waited for, for the record. */
const MAX_STALL_MS = 15_000;
const READY_INTERVAL_MS = 1000;
const READY_MISSES = 2;
const VERDICT_PREFIX = "/verdict/";
const ASK_PREFIX = "/ask/";
/** Every so many requests are of the kind with long answers. */
const ASKS = 5;

const newRoute = (name, pathPrefix, more) => ({
  name,
  host: HOST,
  pathPrefix,
  routeType: "stream",
  service: "model",
  sticky: true,
  gapTargetMs: 200,
  ...more,
});

const routes = [
  newRoute("r-verdict", VERDICT_PREFIX, {
    timeoutMs: ROUTE_TIMEOUT_MS,
    targetLatencyMs: 200,
    priority: 0,
    maxAttempts: 1,
    resumable: false,
  }),
  newRoute("r-ask", ASK_PREFIX, {
    timeoutMs: ASK_DEADLINE_MS,
    targetLatencyMs: 150,
    priority: 1,
    maxAttempts: 2,
    resumable: true,
  }),
];

const fleet = new Fleet();
const engines = [];

/** Whether an entry answers its readiness check within a second. */
const isReady = (entry) =>
  new Promise((resolve) => {
    const req = http.get(`http://${entry.ready}/snowgate/readyz`, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.setTimeout(READY_INTERVAL_MS, () => req.destroy());
    req.on("error", () => resolve(false));
    req.on("close", () => resolve(false));
  });

/** The platform's check: after two misses an entry gets no connections. */
const watchReadiness = (record, entry) => {
  let misses = 0;
  entry.isIn = true;
  entry.checks = setInterval(async () => {
    const isGood = await isReady(entry);
    misses = isGood ? 0 : misses + 1;
    const isIn = misses < READY_MISSES;
    if (isIn !== entry.isIn)
      record.line(`${entry.node} is ${isIn ? "in" : "out: it says nothing"}`);
    entry.isIn = isIn;
  }, READY_INTERVAL_MS);
};

const busiestEngine = () =>
  engines.reduce((a, b) => (b.runs.length > a.runs.length ? b : a)).id;

const play = async (record) => {
  let garbleFrom = Infinity;
  let answers = 0;
  let spoilt = 0;
  let garbling;
  const write = async (res, run) => {
    const sinceMs = performance.now() - garbleFrom;
    const isInTime = !isQuiet && sinceMs >= 0 && sinceMs < GARBLE_MS;
    if (isInTime) garbling ??= busiestEngine();
    const isGarbling = isInTime && run.engine === garbling;
    if (isGarbling) answers += 1;
    const isAsk = run.target.startsWith(ASK_PREFIX);
    if (!isGarbling || !isAsk || spoilt + 1 > answers * GARBLED_SHARE)
      return writeStream(res, run);
    spoilt += 1;
    record.line(`${run.engine} spoils its answer to ${run.id}`);
    res.writeHead(200, streamHead(run));
    res.end(Buffer.alloc(SPOILT_BYTES, "x"));
  };
  await fleet.start({ config: newConfig(routes) });
  for (const [id, stage] of [
    ["e1", "prefill"],
    ["e2", "decode"],
    ["e3", "decode"],
  ]) {
    engines.push(await new Engine(fleet.store, id, stage, { write }).start());
  }
  await fleet.placementReady();
  const entries = fleet.entries();
  for (const entry of entries) watchReadiness(record, entry);
  const startedAt = performance.now();
  garbleFrom = startedAt + GARBLE_FROM_MS;
  const sent = [];
  for (let at = 0; performance.now() - startedAt < PLAY_MS; at += 1) {
    const open = entries.filter((entry) => entry.isIn);
    const entry = open[at % open.length];
    const id = (0x40000000 + at).toString(16);
    if (entry !== undefined && at % ASKS === 0) ask(entry, id);
    else if (entry !== undefined) sent.push(request(entry, id));
    await sleep(1000 / REQUESTS_PER_S);
  }
  await sleep(DEADLINE_MS + 500);
  for (const { id, stage, runs } of engines)
    record.line(`${id} ${stage}: ${runs.length} runs`);
  const result = judge(record, sent);
  await recordStall(record, entries);
  return result;
};

/** A request of the kind with long answers; it is not judged. */
const ask = ({ front }, id) => {
  const headers = modelHeaders(id, ASK_DEADLINE_MS);
  const waitMs = ASK_DEADLINE_MS;
  void send(front, { path: `${ASK_PREFIX}2f`, headers, body: "q", waitMs });
};

const request = (entry, id) => {
  const sentAt = performance.now();
  const result = { id, node: entry.node, status: "none", tookMs: Infinity };
  const headers = modelHeaders(id, DEADLINE_MS);
  const waitMs = DEADLINE_MS;
  const prompt = {
    path: `${VERDICT_PREFIX}2f`,
    headers,
    body: "prompt",
    waitMs,
  };
  void send(entry.front, prompt).then(({ status, why }) => {
    result.status = status === 0 ? why : status;
    result.tookMs = performance.now() - sentAt;
  });
  return result;
};

/**
 * CONFIG: of the requests that run past their route's time, not eight or more
 * and over a quarter have no final answer half a second after it.
 */
const judge = (record, sent) => {
  const past = sent.filter(({ tookMs }) => tookMs > ROUTE_TIMEOUT_MS);
  const late = past.filter(({ tookMs }) => tookMs > JUDGED_AFTER_MS);
  for (const { id, node, status, tookMs } of past)
    record.line(`${id} at ${node}: ${status} after ${Math.round(tookMs)} ms`);
  const good = sent.filter(({ status }) => status === 200).length;
  record.line(
    `${sent.length} requests, ${good} answered with 200, ` +
      `${past.length} past the route's time, ` +
      `${late.length} without an answer 0.5 s after it`,
  );
  if (good < sent.length / 3) throw new Error("too few answers");
  const isBroken =
    late.length >= MIN_UNANSWERED &&
    late.length > past.length * MIN_UNANSWERED_SHARE;
  return isBroken
    ? `CONFIG: ${late.length} of ${past.length} requests past the route's ` +
        `time got no answer`
    : undefined;
};

/** Waits until each entry says something again, or for a while at most. */
const recordStall = async (record, entries) => {
  const endsAt = performance.now() + MAX_STALL_MS;
  while (entries.some(({ isIn }) => !isIn) && performance.now() < endsAt)
    await sleep(100);
  for (const { node, isIn, checks } of entries) {
    clearInterval(checks);
    if (!isIn) record.line(`${node} still says nothing`);
  }
};

const stop = async () => {
  for (const engine of engines) engine.stop();
  await fleet.stop();
};

await runCase(path.join(import.meta.dirname, "record.txt"), play, stop);
