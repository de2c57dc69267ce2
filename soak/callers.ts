/** Callers of the soak: requests over kept connections, and probes. */
import http from "node:http";

import {
  addedPrefix,
  responseIds,
  callHeaders,
} from "../platform/standins/caller.js";
import {
  longPromptHeaders,
  shortPromptHeaders,
} from "../platform/standins/deployment.js";
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
const PATIENCE_MS = 1000;
/** Pause of a caller between two requests, ms. */
const PAUSE_MS = 15;
/** Pause where no entry can be reached, ms. */
const NOBODY_MS = 100;
const PROBE_PAUSE_MS = 120;
const EVENT_ID = /^id: (\d+)$/gm;
const CONNECTIONS_A_CALLER = 1;

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

const exchange = (
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
    const timer = setTimeout(() => req.destroy(), DEADLINE_MS + PATIENCE_MS);
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
    maxSockets: CONNECTIONS_A_CALLER,
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
      const reachable = this.fleet.entries.filter((item) => item.callers);
      const entry = drawOne(reachable, this.rng);
      if (entry?.callers === undefined) await pause(NOBODY_MS);
      else await this.call(entry, entry.callers);
      await pause(PAUSE_MS * this.rng());
    }
    this.agent.destroy();
  }

  private async call(entry: DaemonProcess, address: string): Promise<void> {
    const { now, records } = this.fleet;
    this.sequence += 1;
    const id = `${this.name}-${this.sequence}`;
    const kind = drawOne(CALL_KINDS, this.rng) ?? "safe";
    const isStream = IS_STREAM[kind];
    const prompt =
      this.rng() < 0.5 ? longPromptHeaders() : shortPromptHeaders();
    const headers = {
      ...callHeaders(id, DEADLINE_MS),
      ...(isStream ? prompt : {}),
    };
    const { life } = entry;
    const sentAt = now();
    const target = PATHS[kind];
    const answer = await exchange(this.agent, address, target, headers, now);
    const { status, headAt, isWhole, body } = answer;
    const names = responseIds(answer.headers);
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
export const probe = async (
  fleet: SoakFleet,
  rng: Rng,
  isOver: () => boolean,
): Promise<void> => {
  const agent = new http.Agent({ keepAlive: true });
  for (let count = 0; !isOver(); count += 1) {
    await pause(PROBE_PAUSE_MS);
    const entries = fleet.entries.filter((item) => item.isUp && item.callers);
    const asked = entries.map(async ({ id: entry, life, callers = "" }) => {
      const newest = rng() < 0.5;
      const version = newest
        ? fleet.version
        : 1 + Math.floor(rng() * fleet.version);
      const sentAt = fleet.now();
      const id = `probe-${entry}-${count}`;
      const headers = callHeaders(id, DEADLINE_MS);
      const target = `${addedPrefix(version)}a`;
      const { now } = fleet;
      const answer = await exchange(agent, callers, target, headers, now);
      const { status, headAt } = answer;
      const { signedBy } = responseIds(answer.headers);
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
    });
    await Promise.all(asked);
  }
  agent.destroy();
};
