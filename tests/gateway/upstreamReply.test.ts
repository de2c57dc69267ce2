/** A reply whose send was cancelled is never whole, however much of it arrived. */
import http from "node:http";
import type { ServerResponse } from "node:http";

import { expect } from "chai";

import { UpstreamClient } from "../../src/gateway/upstreamClient.js";
import type { UpstreamReply } from "../../src/gateway/upstreamReply.js";
import { readWholeBody } from "../../src/gateway/upstreamReply.js";
import { Cancellation } from "../../src/shared/cancellation.js";
import { until } from "../support/until.js";
import { sendTo } from "../support/upstreamSend.js";

const BODY = "data: a whole event\n\n".repeat(500);
const MAX_BYTES = 1_000_000;

/** How a server marks the end of the body. */
const FRAMINGS: Record<string, (res: ServerResponse) => void> = {
  chunks: () => undefined,
  "a length": (res) => res.setHeader("Content-Length", BODY.length),
  "the end of the connection": (res) => {
    res.useChunkedEncodingByDefault = false;
    res.setHeader("Connection", "close");
  },
};

describe("a reply", () => {
  let server: http.Server;
  let client: UpstreamClient;

  afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });

  for (const [framing, frame] of Object.entries(FRAMINGS)) {
    describe(`that ends with ${framing}`, () => {
      let cancellation: Cancellation;

      const send = async (): Promise<UpstreamReply> => {
        server = http.createServer((_req, res) => {
          frame(res);
          res.end(BODY);
        });
        client = new UpstreamClient();
        cancellation = new Cancellation();
        return sendTo(server, client, cancellation);
      };

      /** Reads one chunk and pauses, as for a slow caller. */
      const readFirst = async (reply: UpstreamReply): Promise<void> => {
        await new Promise<void>((resolve) => {
          reply.res.on("data", () => {
            reply.res.pause();
            resolve();
          });
        });
        await until(() => reply.res.complete, "it has arrived to its end");
      };

      it("is cut if its send is cancelled while its reader pauses", async () => {
        const reply = await send();
        reply.res.pause();
        await until(() => reply.res.complete, "it has arrived to its end");
        cancellation.cancel();
        expect((await reply.ended()).kind).to.equal("cut");
      });

      it("is cut if its send is cancelled in a pause after its connection has ended", async () => {
        const reply = await send();
        reply.res.pause();
        await until(() => reply.res.complete, "it has arrived to its end");
        const { socket } = reply.res;
        server.closeAllConnections();
        await until(() => socket.destroyed, "the connection has ended");
        cancellation.cancel();
        expect((await reply.ended()).kind).to.equal("cut");
      });

      it("is cut if it is dropped before it is read", async () => {
        const reply = await send();
        reply.res.pause();
        await until(() => reply.res.complete, "it has arrived to its end");
        reply.res.destroy();
        expect((await reply.ended()).kind).to.equal("cut");
      });

      it("is whole if it is read to its end, and cancelled only then", async () => {
        const reply = await send();
        const whole = await readWholeBody(reply, MAX_BYTES);
        cancellation.cancel();
        expect(whole.kind).to.equal("whole");
        expect((await reply.ended()).kind).to.equal("whole");
      });

      it("is whole if its reader goes on after a pause", async () => {
        const reply = await send();
        await readFirst(reply);
        reply.res.resume();
        expect((await reply.ended()).kind).to.equal("whole");
      });
    });
  }
});
