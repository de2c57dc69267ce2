/**
 * A surplus refusal arrives in the place of another request's answer, while an
 * engine runs that request.
 */
import path from "node:path";

import { HOST, modelHeaders, send } from "../lib/client.mjs";
import { Engine } from "../lib/engine.mjs";
import { Fleet, newConfig } from "../lib/fleet.mjs";
import { sleep } from "../lib/http.mjs";
import { isQuiet, runCase } from "../lib/record.mjs";

/** Doses that the site file names for `garble`, how `extra late`. */
const GARBLE_MS = 5000;
const MAX_SURPLUS_SHARE = 0.03;
/** As the engines of the wallet's deployment have. */
const SLOTS = 6;
/** Callers beside an engine fill it for a moment, one engine after another. */
const LOCAL_CALLS = 8;
const LOCAL_INTERVAL_MS = 600;
const REQUESTS_PER_S = 90;
const DEADLINE_MS = 15_000;
const PLAY_MS = 8000;
const GARBLE_FROM_MS = 1500;
const PREFIX = "/verdict/";

const route = {
  name: "r-verdict",
  host: HOST,
  pathPrefix: PREFIX,
  routeType: "stream",
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: 120,
  priority: 1,
  service: "model",
  maxAttempts: 1,
  sticky: true,
  resumable: false,
  gapTargetMs: 150,
};

const fleet = new Fleet();
const engines = [];

const REFUSAL_BODY = "{}";
/** The very bytes of the refusal of a run. */
const refusalOf = (id) =>
  [
    "HTTP/1.1 503 Service Unavailable",
    `Request-Id: ${id}`,
    "Not-Executed: 1",
    "Content-Type: application/json",
    `Content-Length: ${REFUSAL_BODY.length}`,
    "",
    REFUSAL_BODY,
  ].join("\r\n");

const play = async (record) => {
  let garbleUntil = -Infinity;
  let garbleFrom = Infinity;
  const isGarbling = () => {
    const now = performance.now();
    return !isQuiet && now >= garbleFrom && now < garbleUntil;
  };
  const newEngine = (id, stage) => {
    let surplus = 0;
    let answersBefore;
    /** The last refused request of each connection, answered once more late. */
    const refused = new Map();
    const onRefused = (run) => {
      record.line(`${id} is full, refuses ${run.id}`);
      refused.set(run.socket, run.id);
    };
    const beforeAnswer = (engine, run, isRead) => {
      if (isRead || !isGarbling()) return;
      answersBefore ??= engine.answers;
      const before = refused.get(run.socket);
      if (before === undefined) return;
      const answers = engine.answers + 1 - answersBefore;
      if (surplus + 1 > answers * MAX_SURPLUS_SHARE) return;
      surplus += 1;
      refused.delete(run.socket);
      record.line(`${id} sends surplus refusal of ${before} before ${run.id}`);
      run.socket.write(refusalOf(before));
    };
    const hooks = { slots: SLOTS, onRefused, beforeAnswer };
    return new Engine(fleet.store, id, stage, hooks);
  };
  await fleet.start({ config: newConfig([route], SLOTS) });
  for (const [id, stage] of [
    ["e1", "prefill"],
    ["e2", "prefill"],
    ["e3", "decode"],
    ["e4", "decode"],
    ["e5", "decode"],
  ])
    engines.push(await newEngine(id, stage).start());
  await fleet.placementReady();
  const startedAt = performance.now();
  garbleFrom = startedAt + GARBLE_FROM_MS;
  garbleUntil = garbleFrom + GARBLE_MS;
  const answers = [];
  const entries = fleet.entries();
  let turn = 0;
  const local = setInterval(() => {
    turn += 1;
    const running = engines.filter(({ stage }) => stage === "decode");
    callLocally(running[turn % running.length], turn);
  }, LOCAL_INTERVAL_MS);
  for (let at = 0; performance.now() - startedAt < PLAY_MS; at += 1) {
    const id = (0x10000000 + at).toString(16);
    const { front } = entries[at % entries.length];
    const headers = modelHeaders(id, DEADLINE_MS);
    const sent = send(front, { path: `${PREFIX}2f`, headers, body: "prompt" });
    answers.push(sent.then((answer) => ({ id, ...answer })));
    await sleep(1000 / REQUESTS_PER_S);
  }
  clearInterval(local);
  const all = await Promise.all(answers);
  await sleep(500);
  return judge(record, all);
};

/** Callers on an engine's own machine, which call it without an entry. */
const callLocally = ({ address }, turn) => {
  for (let at = 0; at < LOCAL_CALLS; at += 1) {
    const headers = modelHeaders(`local-${turn}-${at}`, DEADLINE_MS);
    void send(address, { path: `${PREFIX}2f`, headers, body: "prompt" });
  }
};

/** TWICE: no request of this route, which isn't idempotent, runs twice. */
const judge = (record, answers) => {
  const runsOf = new Map();
  for (const { runs } of engines)
    for (const { id, engine } of runs)
      runsOf.set(id, [...(runsOf.get(id) ?? []), engine]);
  for (const { id, status, isWhole } of answers) {
    const ran = (runsOf.get(id) ?? []).join(",");
    record.line(`${id} status ${status} whole ${isWhole} ran at ${ran}`);
  }
  const twice = answers.filter(({ id }) => (runsOf.get(id) ?? []).length > 1);
  const refused = answers.filter(
    ({ id, status }) => status === 503 && runsOf.has(id),
  );
  const good = answers.filter(({ status }) => status === 200).length;
  record.line(`${answers.length} requests, ${good} answered with 200`);
  if (good < answers.length / 2) throw new Error("too few answers");
  for (const { id } of refused)
    record.line(`REFUSED too: ${id} got 503 and ran`);
  if (twice.length === 0) return undefined;
  const texts = twice.map(({ id }) => `${id} ran at ${runsOf.get(id)}`);
  return `TWICE: ${texts.join("; ")}`;
};

const stop = async () => {
  for (const engine of engines) engine.stop();
  await fleet.stop();
};

await runCase(path.join(import.meta.dirname, "record.txt"), play, stop);
