/** A call that is given up is reset, so that it can't arrive after a cut. */
import http from "node:http";
import type { IncomingMessage } from "node:http";
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";

import { expect } from "chai";

import { SideClient } from "../src/entry/sideClient.js";
import {
  abortOpenExchanges,
  abortRequest,
  exchange,
} from "../src/http/index.js";
import { Cancellation } from "../src/shared/cancellation.js";
import { callUpstream } from "../src/side/upstreamCall.js";
import { until } from "./support/until.js";

const GIVE_UP_MS = 50;
const LONG_MS = 60_000;

/** Makes a call to an address, and gives it up once `isSent` has resolved. */
type GivenUpCall = (address: string, isSent: Promise<void>) => Promise<unknown>;

const CALLS: Record<string, GivenUpCall> = {
  "a control call without an answer in time": (address) =>
    exchange({
      method: "POST",
      url: `http://${address}/`,
      body: { fence: 1 },
      timeoutMs: GIVE_UP_MS,
    }),
  "a control call that is cancelled": (address, isSent) => {
    const cancellation = new Cancellation();
    void isSent.then(() => cancellation.cancel());
    const url = `http://${address}/`;
    return exchange({ method: "GET", url, timeoutMs: LONG_MS, cancellation });
  },
  "a control call of a process that ends": (address, isSent) => {
    void isSent.then(abortOpenExchanges);
    const url = `http://${address}/`;
    return exchange({ method: "PUT", url, body: {}, timeoutMs: LONG_MS });
  },
  "an entry's request to a side": (address, isSent) => {
    const controller = new AbortController();
    void isSent.then(() => controller.abort());
    const client = new SideClient(
      () => undefined,
      () => undefined,
    );
    return client.send({
      address,
      method: "POST",
      path: "/",
      headers: {},
      body: Buffer.alloc(0),
      connectTimeoutMs: LONG_MS,
      timeoutMs: LONG_MS,
      signal: controller.signal,
    });
  },
  "a side's request to its upstream": (address, isSent) =>
    callUpstream({
      url: `http://${address}`,
      agent: new http.Agent(),
      req: { method: "POST", url: "/", headers: {} } as IncomingMessage,
      body: Buffer.from("{}"),
      requestId: "r",
      echoesRequestId: true,
      onRequest: (req) => void isSent.then(() => abortRequest(req, "left")),
    }),
};

describe("a call that is given up", () => {
  let server: net.Server;
  let accepted: Socket | undefined;

  afterEach(() => {
    accepted?.destroy();
    server.close();
  });

  for (const [title, call] of Object.entries(CALLS)) {
    it(`is reset: ${title}`, async () => {
      let code: string | undefined;
      let hasEnded = false;
      const isSent = new Promise<void>((resolve) => {
        server = net.createServer((socket) => {
          accepted = socket;
          socket.on("error", (err: NodeJS.ErrnoException) => (code = err.code));
          socket.on("end", () => (hasEnded = true));
          socket.once("data", () => resolve());
        });
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve),
      );
      const { port } = server.address() as AddressInfo;
      await call(`127.0.0.1:${port}`, isSent).catch(() => undefined);
      await until(() => hasEnded || code !== undefined, "the end is seen");
      expect(code).to.equal("ECONNRESET");
    });
  }
});
