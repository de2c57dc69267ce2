/** A side's call to its upstream ends, whatever that sends before an answer. */
import http from "node:http";
import type { IncomingMessage } from "node:http";
import net from "node:net";
import type { AddressInfo } from "node:net";

import { expect } from "chai";

import { callUpstream } from "../src/side/upstreamCall.js";

const REPLIES = {
  "a switch to another protocol":
    "HTTP/1.1 101 Switching Protocols\r\n" +
    "Connection: Upgrade\r\nUpgrade: other\r\n\r\n",
  "informational answers without end": "HTTP/1.1 102 Processing\r\n\r\n".repeat(
    1000,
  ),
};

describe("a side's call to its upstream", () => {
  for (const [title, bytes] of Object.entries(REPLIES)) {
    it(`fails at ${title}, as a request that may have run`, async () => {
      const server = net.createServer((socket) => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.write(bytes));
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve),
      );
      const { port } = server.address() as AddressInfo;
      const result = await callUpstream({
        url: `http://127.0.0.1:${port}`,
        agent: new http.Agent(),
        req: { method: "GET", url: "/", headers: {} } as IncomingMessage,
        body: Buffer.alloc(0),
        requestId: "r",
        echoesRequestId: true,
        onRequest: () => undefined,
      });
      server.close();
      if (result.kind === "response") throw new Error("answered");
      expect(result.failure.verdict).to.equal("may-have-run");
    });
  }
});
