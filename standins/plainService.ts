/**
 * Stand-in for a plain service. Each call is recorded when it starts to run;
 * `GET /admin/record` returns the record, so that a test can compare it with
 * the responses that callers received.
 */
import { readOptions, reply, serve } from "./support.js";
import type { Call } from "./support.js";

interface Faults {
  /** Number of responses that carry another request's id. */
  cross: number;
  /** Number of responses that are cut in the middle of the body. */
  cut: number;
  /** Number of requests whose connection is closed after they ran. */
  dropAfterRun: number;
  /** Duration of each call, ms. */
  delayMs: number;
  /** Whether the process exits when the next call has been recorded. */
  dieAfterRun: boolean;
}

interface Run {
  requestId: string;
  key: string;
  path: string;
  body: string;
}

const options = readOptions({
  delayMs: 5,
  address: "127.0.0.1:0",
  /** Whether it keeps what it got. */
  isRecording: true,
});
let faults: Faults = {
  cross: 0,
  cut: 0,
  dropAfterRun: 0,
  delayMs: options.delayMs,
  dieAfterRun: false,
};
const runs: Run[] = [];
let active = 0;

const delay = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

const run = async ({ req, res, url, body }: Call): Promise<void> => {
  const requestId = String(req.headers["x-request-id"] ?? "");
  const key = String(req.headers["idempotency-key"] ?? "");
  const text = body.toString("utf8");
  if (options.isRecording)
    runs.push({ requestId, key, path: url.pathname, body: text });
  if (faults.dieAfterRun) process.exit(1);
  active += 1;
  await delay(Number(url.searchParams.get("delayMs") ?? faults.delayMs));
  active -= 1;
  if (faults.dropAfterRun > 0) {
    faults.dropAfterRun -= 1;
    return void res.destroy();
  }
  if (faults.cut > 0) {
    faults.cut -= 1;
    res.writeHead(200, { "content-length": 1000, "x-request-id": requestId });
    res.write("{");
    return void setTimeout(() => res.destroy(), 5);
  }
  const isCrossed = faults.cross > 0;
  if (isCrossed) faults.cross -= 1;
  const responseId = isCrossed ? "some-other-request" : requestId;
  const echo = isCrossed ? '{"of":"another"}' : text;
  const answer = { answerTo: responseId, path: url.pathname, echo };
  const bytes = Number(url.searchParams.get("bytes") ?? 0);
  if (bytes > 0) Object.assign(answer, { fill: "x".repeat(bytes) });
  reply(res, 200, answer, { "x-request-id": responseId });
};

await serve(async (call) => {
  const { url, res, body } = call;
  switch (url.pathname) {
    case "/admin/record":
      return reply(res, 200, { runs, active });
    case "/admin/faults":
      faults = { ...faults, ...(JSON.parse(body.toString()) as Faults) };
      return reply(res, 200, faults);
    default:
      return run(call);
  }
}, options.address);
