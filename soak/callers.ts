/** Callers of the soak: requests over kept connections, and probes. */
import http from "node:http";

import {
  addedPrefix,
  answerNames,
  callHeaders,
} from "../platform/standins/caller.js";
import { longPrompt, shortPrompt } from "../platform/standins/deployment.js";
import type { Rng } from "../src/shared/rng.js";
import { DEADLINE_MS } from "./checks.js";
import { drawOne } from "./draw.js";
import type { DaemonProcess } from "./daemonProcess.js";
import type { SoakFleet } from "./fleet.js";
import { CALL_KINDS, IS_STREAM } from "./types.js";
import type { CallKind } from "./types.js";

const PATHS: Readonly<Record<CallKind, string>> = {
  safe: "/safe/a",
  unsafe: "/unsafe/a",
  resumable: "/resume/a",
  draft: "/draft/a",
};
/** Beyond the deadline, before a caller gives up, ms. */
const TIMEOUT_MARGIN_MS = 1000;
/** Pause of a caller between two requests, ms. */
const MAX_PAUSE_MS = 15;
/** Pause where no entry can be reached, ms. */
const NO_ENTRY_RETRY_MS = 100;
const PROBE_INTERVAL_MS = 120;
const EVENT_ID = /^id: (\d+)$/gm;
const CONNECTIONS_PER_CALLER = 1;

/** What came back of one request. */
interface Answer {
  status: number;
  headers: http.IncomingHttpHeaders;
  /** When the response headers arrived; undefined if none did. */
  headAt: number | undefined;
  body: string;
  isWhole: boolean;
}

const NO_ANSWER: Answer = {
  status: 0,
  headers: {},
  headAt: undefined,
  body: "",
  isWhole: false,
};

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

const sendRequest = (
  agent: http.Agent,
  address: string,
  target: string,
  headers: Record<string, string>,
  now: () => number,
): Promise<Answer> =>
  new Promise((resolve) => {
    const [host, port] = address.split(":");
    const options = { host, port, path: target, method: "POST", agent };
    const req = http.request({
      ...options,
      headers: { ...headers, "Content-Length": "0" },
    });
    const timer = setTimeout(
      () => req.destroy(),
      DEADLINE_MS + TIMEOUT_MARGIN_MS,
    );
    const end = (answer: Answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on("error", () => end(NO_ANSWER));
    req.on("response", (res) => {
      const headAt = now();
      let body = "";
      res.on("data", (bytes: Buffer) => (body += bytes.toString()));
      res.on("error", () => undefined);
      res.on("close", () => {
        const { statusCode: status = 0, headers, complete: isWhole } = res;
        end({ status, headers, headAt, body, isWhole });
      });
    });
    req.end();
  });

const replicaIn = (body: string): string | undefined => {
  try {
    return (JSON.parse(body) as { by?: string }).by;
  } catch {
    // A spoilt body names nobody, which the check of whole answers reports.
    return undefined;
  }
};

const eventsIn = (body: string): number[] =>
  [...body.matchAll(EVENT_ID)].map((match) => Number(match[1]));

export class SoakCaller {
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxSockets: CONNECTIONS_PER_CALLER,
  });
  private sequence = 0;

  constructor(
    private readonly name: string,
    private readonly fleet: SoakFleet,
    private readonly rng: Rng,
  ) {}

  /** Sends requests one after the other until it is over. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const reachable = this.fleet.entries.filter((item) => item.callerAddress);
      const entry = drawOne(reachable, this.rng);
      if (entry?.callerAddress === undefined) await pause(NO_ENTRY_RETRY_MS);
      else await this.sendOne(entry, entry.callerAddress);
      await pause(MAX_PAUSE_MS * this.rng());
    }
    this.agent.destroy();
  }

  private async sendOne(entry: DaemonProcess, address: string): Promise<void> {
    const { now, records } = this.fleet;
    this.sequence += 1;
    const id = `${this.name}-${this.sequence}`;
    const kind = drawOne(CALL_KINDS, this.rng) ?? "safe";
    const isStream = IS_STREAM[kind];
    const prompt = this.rng() < 0.5 ? longPrompt() : shortPrompt();
    const headers = {
      ...callHeaders(id, DEADLINE_MS),
      ...(isStream ? prompt : {}),
    };
    const { life } = entry;
    const sentAt = now();
    const target = PATHS[kind];
    const answer = await sendRequest(this.agent, address, target, headers, now);
    const { status, headAt, isWhole, body } = answer;
    const names = answerNames(answer.headers);
    records.calls.push({
      id,
      kind,
      entry: entry.id,
      life,
      sentAt,
      headAt,
      endedAt: now(),
      status,
      isWhole,
      answerId: names.id,
      signedBy: names.signedBy,
      bodyBy: isStream ? undefined : replicaIn(body),
      events: isStream ? eventsIn(body) : [],
    });
  }
}

/** Asks each entry for routes that configurations have added. */
export const probeAddedRoutes = async (
  fleet: SoakFleet,
  rng: Rng,
  isOver: () => boolean,
): Promise<void> => {
  const agent = new http.Agent({ keepAlive: true });
  for (let count = 0; !isOver(); count += 1) {
    await pause(PROBE_INTERVAL_MS);
    const entries = fleet.entries.filter(
      (item) => item.isUp && item.callerAddress,
    );
    const asked = entries.map(
      async ({ id: entry, life, callerAddress = "" }) => {
        const newest = rng() < 0.5;
        const version = newest
          ? fleet.version
          : 1 + Math.floor(rng() * fleet.version);
        const sentAt = fleet.now();
        const id = `probe-${entry}-${count}`;
        const headers = callHeaders(id, DEADLINE_MS);
        const target = `${addedPrefix(version)}a`;
        const { now } = fleet;
        const answer = await sendRequest(
          agent,
          callerAddress,
          target,
          headers,
          now,
        );
        const { status, headAt } = answer;
        const { signedBy } = answerNames(answer.headers);
        const endedAt = now();
        fleet.records.probes.push({
          id,
          entry,
          life,
          version,
          sentAt,
          headAt,
          endedAt,
          status,
          signedBy,
        });
      },
    );
    await Promise.all(asked);
  }
  agent.destroy();
};
