/** A stream whose caller reads slowly is complete only with its last event. */
import http from "node:http";
import type { ServerResponse } from "node:http";
import { Writable } from "node:stream";

import { expect } from "chai";

import { monotonicNow } from "../../src/daemon/clock.js";
import type { CallerRequest } from "../../src/gateway/callerRequest.js";
import { StreamRelay } from "../../src/gateway/streamRelay.js";
import type { RunEnd } from "../../src/gateway/streamRelay.js";
import { UpstreamClient } from "../../src/gateway/upstreamClient.js";
import { Cancellation } from "../../src/shared/cancellation.js";
import { writeEndlessly } from "../../standins/endlessBytes.js";
import { until } from "../support/until.js";
import { sendTo } from "../support/upstreamSend.js";

const FIRST_EVENT = "id: 1\ndata: first\n\n";
const LAST_EVENTS = "id: 2\ndata: second\n\nid: 3\ndata: last\n\n";

/** A caller's connection that takes nothing more until it reads on. */
class SlowReader extends Writable {
  received = "";
  private isReading = false;
  private release: () => void = () => undefined;

  constructor() {
    super({ highWaterMark: 1 });
  }

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.received += chunk.toString();
    if (this.isReading) return done();
    this.release = done;
  }

  readOn(): void {
    this.isReading = true;
    this.release();
  }
}

describe("a stream whose caller reads slowly", () => {
  let server: http.Server;
  let client: UpstreamClient;
  let cancellation: Cancellation;
  let reader: SlowReader;
  let ended: Promise<RunEnd>;

  beforeEach(async () => {
    let sendRest: () => void = () => undefined;
    server = http.createServer((_req, res) => {
      res.write(FIRST_EVENT);
      sendRest = () => res.end(LAST_EVENTS);
    });
    client = new UpstreamClient();
    cancellation = new Cancellation();
    reader = new SlowReader();
    const reply = await sendTo(server, client, cancellation);
    const caller = {
      head: {},
      isCallerGone: false,
      res: reader as unknown as ServerResponse,
      writePart: (bytes: Buffer) => reader.write(bytes),
    } as unknown as CallerRequest;
    const relay = new StreamRelay(caller, () => undefined, monotonicNow);
    ended = relay.run(reply);
    await until(() => reader.writableNeedDrain, "the relay waits for it");
    sendRest();
    await until(() => reply.res.complete, "all events have arrived");
  });

  afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });

  it("is cut if its time ends before its last events were passed on", async () => {
    cancellation.cancel();
    expect((await ended).kind).to.equal("cut");
    expect(reader.received).to.equal(FIRST_EVENT);
  });

  it("is complete with all events once the caller reads on", async () => {
    reader.readOn();
    expect((await ended).kind).to.equal("complete");
    expect(reader.received).to.equal(FIRST_EVENT + LAST_EVENTS);
  });
});

describe("a stream of an engine that sends no events, without end", () => {
  const MAX_PASSED_ON_BYTES = 2 * 1024 * 1024;
  const FILLS: Record<string, string> = {
    "blank lines": "\n".repeat(10_000),
    "blank lines of two bytes": "\r\n".repeat(10_000),
    "comments between blank lines": ": no event\n\n".repeat(1000),
  };

  /** Relays what the engine writes; resolves with the end and what was passed on. */
  const relayFrom = async (engine: http.RequestListener) => {
    const server = http.createServer(engine);
    const client = new UpstreamClient();
    const received: Buffer[] = [];
    const caller = {
      head: {},
      isCallerGone: false,
      res: { destroyed: false },
      writePart: (bytes: Buffer) => received.push(bytes) > 0,
    } as unknown as CallerRequest;
    try {
      const reply = await sendTo(server, client, new Cancellation());
      const relay = new StreamRelay(caller, () => undefined, monotonicNow);
      const { kind } = await relay.run(reply);
      return { kind, passedOn: Buffer.concat(received) };
    } finally {
      client.close();
      server.closeAllConnections();
      server.close();
    }
  };

  for (const [title, fill] of Object.entries(FILLS)) {
    it(`is cut: ${title}`, async () => {
      const { kind, passedOn } = await relayFrom((_req, res) => {
        res.write(FIRST_EVENT);
        writeEndlessly(res, fill);
      });
      expect(kind).to.equal("cut");
      expect(passedOn.length).to.be.at.most(MAX_PASSED_ON_BYTES);
    });
  }

  it("goes on for as long as events come between its comments", async () => {
    const pieces = Array.from(
      { length: 40 },
      (_, at) => `${": no event\n\n".repeat(5000)}id: ${at}\ndata: x\n\n`,
    );
    const text = pieces.join("");
    const { kind, passedOn } = await relayFrom((_req, res) => res.end(text));
    expect(kind).to.equal("complete");
    expect(passedOn.toString()).to.equal(text);
  });
});
