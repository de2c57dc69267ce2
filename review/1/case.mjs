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
/** Every so many runs, an engine is full and refuses one. */
const REFUSED_RUNS = 25;
const REQUESTS_PER_S = 60;
const DEADLINE_MS = 2000;
const PLAY_MS = 8000;
const GARBLE_FROM_MS = 1500;
const PREFIX = "/verdict/";

const route = {
  name: "r-verdict",
  host: HOST,
  pathPrefix: PREFIX,
  routeType: "stream",
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: 200,
  priority: 0,
  service: "model",
  maxAttempts: 1,
  sticky: true,
  resumable: false,
  gapTargetMs: 200,
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
    let runs = 0;
    let surplus = 0;
    let answersBefore;
    /** The refused request of each connection, to be answered once more. */
    const refused = new Map();
    const mayRefuse = (run) => {
      runs += 1;
      if (runs % REFUSED_RUNS !== 0) return false;
      record.line(`${id} full, refuses ${run.id}`);
      refused.set(run.socket, run.id);
      return true;
    };
    const beforeAnswer = (engine, run, isRead) => {
      if (isRead || !isGarbling()) return;
      answersBefore ??= engine.answers;
      const before = refused.get(run.socket);
      refused.delete(run.socket);
      if (before === undefined) return;
      const answers = engine.answers + 1 - answersBefore;
      if (surplus + 1 > answers * MAX_SURPLUS_SHARE) return;
      surplus += 1;
      record.line(`${id} sends surplus refusal of ${before} before ${run.id}`);
      run.socket.write(refusalOf(before));
    };
    return new Engine(fleet.store, id, stage, { mayRefuse, beforeAnswer });
  };
  await fleet.start({ config: newConfig([route]) });
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
  for (let at = 0; performance.now() - startedAt < PLAY_MS; at += 1) {
    const id = (0x10000000 + at).toString(16);
    const { front } = entries[at % entries.length];
    const headers = modelHeaders(id, DEADLINE_MS);
    const sent = send(front, { path: `${PREFIX}2f`, headers, body: "prompt" });
    answers.push(sent.then((answer) => ({ id, ...answer })));
    await sleep(1000 / REQUESTS_PER_S);
  }
  const all = await Promise.all(answers);
  await sleep(500);
  return judge(record, all);
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
  const broken = [
    ...twice.map(({ id }) => `TWICE: ${id} ran at ${runsOf.get(id)}`),
    ...refused.map(({ id }) => `REFUSED: ${id} got 503 and ran`),
  ];
  return broken.length === 0 ? undefined : broken.join("; ");
};

const stop = async () => {
  for (const engine of engines) engine.stop();
  await fleet.stop();
};

await runCase(path.join(import.meta.dirname, "record.txt"), play, stop);
