/** Simulated callers: requests over keep-alive connections, and probes. */
import http from "node:http";

import {
  addedPrefix,
  callHeaders,
  eventsIn,
  partIds,
  responseIds,
  resumptionHeaders,
} from "../platform/standins/caller.js";
import {
  longPromptHeaders,
  promptHeaders,
  shortPromptHeaders,
} from "../platform/standins/deployment.js";
import type { Rng } from "../src/shared/rng.js";
import { DEADLINE_MS } from "./checks.js";
import { drawOne } from "./draw.js";
import type { DaemonProcess } from "./daemonProcess.js";
import type { SoakFleet } from "./fleet.js";
import { CALL_KINDS, CALL_PATHS, IS_STREAM } from "./types.js";
import type { CallKind, CallRecord, ResumptionRecord } from "./types.js";

/** Time past the deadline after which a caller gives up, ms. */
const TIMEOUT_MARGIN_MS = 1000;
/** Longest pause of a caller between two requests, ms. */
const MAX_PAUSE_MS = 15;
/** Pause before the next try if no entry is reachable, ms. */
const NO_ENTRY_RETRY_MS = 100;
const PROBE_INTERVAL_MS = 120;
/** How often a caller takes up one stream that was cut. */
const MAX_RESUMPTIONS = 3;
/** Share of resumptions that name an invented stream. */
const INVENTED_SHARE = 0.05;
/** Least time left for which a stream is taken up, ms. */
const MIN_RESUMPTION_MS = 100;
const CONNECTIONS_PER_CALLER = 1;
/** Share of the streams whose prompt has the deadly part. */
const DEADLY_SHARE = 0.12;
/** Parts that sound prompts share, besides the first. */
const SOUND_PARTS = ["s1", "s2", "s3", "s4"] as const;

/** The response to one request, as far as it arrived. */
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
  body = "",
): Promise<Answer> =>
  new Promise((resolve) => {
    const [host, port] = address.split(":");
    const options = { host, port, path: target, method: "POST", agent };
    const req = http.request({
      ...options,
      headers: { ...headers, "Content-Length": String(body.length) },
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
      let text = "";
      res.on("data", (bytes: Buffer) => (text += bytes.toString()));
      res.on("error", () => undefined);
      res.on("close", () => {
        const { statusCode: status = 0, headers, complete: isWhole } = res;
        end({ status, headers, headAt, body: text, isWhole });
      });
    });
    req.end(body);
  });

const replicaInBody = (body: string): string | undefined => {
  try {
    return (JSON.parse(body) as { by?: string }).by;
  } catch {
    // A corrupt body names no replica, which `answersAreComplete` reports.
    return undefined;
  }
};

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

  /** Sends requests one after the other until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const entry = this.drawEntry();
      if (entry?.callerAddress === undefined) await pause(NO_ENTRY_RETRY_MS);
      else await this.sendOne(entry, entry.callerAddress);
      await pause(MAX_PAUSE_MS * this.rng());
    }
    this.agent.destroy();
  }

  private async sendOne(entry: DaemonProcess, address: string): Promise<void> {
    const kind = drawOne(CALL_KINDS, this.rng) ?? "safe";
    const prompt =
      this.rng() < 0.5 ? longPromptHeaders() : shortPromptHeaders();
    const more = IS_STREAM[kind] ? (this.drawParts() ?? prompt) : {};
    const call = await this.send(entry, address, kind, more, DEADLINE_MS);
    if (kind === "resumable") await this.resume(call, more);
  }

  /** Prompts all unlike, some with the deadly part; undefined without one. */
  private drawParts(): Record<string, string> | undefined {
    const { deadlyPart } = this.fleet;
    if (deadlyPart === undefined) return undefined;
    const isDeadly = this.rng() < DEADLY_SHARE;
    const sound = drawOne(SOUND_PARTS, this.rng) ?? "";
    const own = `${this.name}.${this.sequence}`;
    return promptHeaders(["first", isDeadly ? deadlyPart : sound, own]);
  }

  /** Takes up a stream that was cut, as often as its time allows. */
  private async resume(
    first: CallRecord,
    more: Record<string, string>,
  ): Promise<void> {
    const { now } = this.fleet;
    let last = first;
    let lastEventId = 0;
    for (let count = 0; count < MAX_RESUMPTIONS; count += 1) {
      lastEventId = last.events[last.versions.length - 1] ?? lastEventId;
      const leftMs = first.sentAt + DEADLINE_MS - now();
      if (last.isWhole && last.status === 200) return;
      if (lastEventId === 0 || leftMs < MIN_RESUMPTION_MS) return;
      const entry = this.drawEntry();
      if (entry?.callerAddress === undefined) return;
      const isTrue = this.rng() >= INVENTED_SHARE;
      const streamId = isTrue ? first.id : `invented-${first.id}`;
      const resumption = { streamId, lastEventId, isTrue };
      const headers = { ...more, ...resumptionHeaders(streamId, lastEventId) };
      const { callerAddress } = entry;
      last = await this.send(
        entry,
        callerAddress,
        "resumable",
        headers,
        leftMs,
        resumption,
      );
      if (!isTrue) return;
    }
  }

  private drawEntry(): DaemonProcess | undefined {
    const reachable = this.fleet.entries.filter((item) => item.callerAddress);
    return drawOne(reachable, this.rng);
  }

  private async send(
    entry: DaemonProcess,
    address: string,
    kind: CallKind,
    more: Record<string, string>,
    deadlineMs: number,
    resumption?: ResumptionRecord,
  ): Promise<CallRecord> {
    const { now, records } = this.fleet;
    this.sequence += 1;
    const id = `${this.name}-${this.sequence}`;
    const headers = { ...callHeaders(id, Math.round(deadlineMs)), ...more };
    const { life } = entry;
    const sentAt = now();
    const target = CALL_PATHS[kind];
    const parts = partIds(headers);
    const body = this.fleet.deadlyPart === undefined ? "" : id;
    const answer = await sendRequest(
      this.agent,
      address,
      target,
      headers,
      now,
      body,
    );
    const { status, headAt, isWhole } = answer;
    const names = responseIds(answer.headers);
    const events = IS_STREAM[kind] ? eventsIn(answer.body) : [];
    const call = {
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
      bodyBy: IS_STREAM[kind] ? undefined : replicaInBody(answer.body),
      events: events.map((event) => event.id),
      versions: events
        .filter(({ isWhole }) => isWhole)
        .map(({ version }) => version),
      resumption,
      parts,
    };
    records.calls.push(call);
    return call;
  }
}

/** Requests routes that configuration versions added, from each entry. */
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
    const pending = entries.map(
      async ({ id: entry, life, callerAddress = "" }) => {
        const probesNewest = rng() < 0.5;
        const version = probesNewest
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
      },
    );
    await Promise.all(pending);
  }
  agent.destroy();
};
