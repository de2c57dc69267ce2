/** Control calls end, whatever the peer sends instead of an answer. */
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";

import { expect } from "chai";

import { exchange, ExchangeError } from "../src/http/index.js";
import { FILL, writeEndlessly } from "../standins/endlessBytes.js";
import { until } from "./support/until.js";

const TIMEOUT_MS = 20_000;
const MAX_READ_BYTES = 32 * 1024 * 1024;

const ANSWERS: Record<string, { begin: string; endless: string }> = {
  "a head without end": { begin: "HTTP/1.1 200 OK\r\nX: ", endless: FILL },
  "informational answers without end": {
    begin: "",
    endless: "HTTP/1.1 102 Processing\r\n\r\n".repeat(100),
  },
  "a body without end": { begin: "HTTP/1.1 200 OK\r\n\r\n", endless: FILL },
  "a chunk's size without end": {
    begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    endless: "0".repeat(FILL.length),
  },
  "a switch to another protocol": {
    begin:
      "HTTP/1.1 101 Switching Protocols\r\n" +
      "Connection: Upgrade\r\nUpgrade: other\r\n\r\n",
    endless: FILL,
  },
};

describe("a control call", () => {
  let server: net.Server;
  let socket: Socket | undefined;

  const close = (): void => {
    socket?.destroy();
    socket = undefined;
    server.close();
  };

  afterEach(close);

  const serve = async (begin: string, endless: string): Promise<string> => {
    server = net.createServer((accepted) => {
      socket = accepted;
      accepted.on("error", () => undefined);
      accepted.once("data", () => {
        accepted.write(begin);
        if (endless !== "") writeEndlessly(accepted, endless);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
  };

  for (const [title, { begin, endless }] of Object.entries(ANSWERS)) {
    it(`fails at ${title}, and its connection is closed`, async () => {
      const url = await serve(begin, endless);
      const call = exchange({ method: "GET", url, timeoutMs: TIMEOUT_MS });
      const err: unknown = await call.catch((reason: unknown) => reason);
      expect(err).to.be.instanceOf(ExchangeError);
      expect(String(err)).to.not.match(/timed out/);
      await until(() => socket?.destroyed === true, "it is closed");
      expect(socket?.bytesWritten).to.be.at.most(MAX_READ_BYTES);
    });
  }

  // The store's trouble would be taken for a cut of a waiting call.
  it("is not cut where this process ends it", async () => {
    const cuts: string[] = [];
    for (const [title, { begin, endless }] of Object.entries(ANSWERS)) {
      const url = await serve(begin, endless);
      const call = exchange({ method: "GET", url, timeoutMs: TIMEOUT_MS });
      const err: unknown = await call.catch((reason: unknown) => reason);
      if ((err as ExchangeError).isCut) cuts.push(title);
      close();
    }
    expect(cuts).to.eql([]);
  });

  const CUTS = {
    head: "HTTP/1.1 200 OK\r\n",
    body: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1",
  };
  for (const [part, begin] of Object.entries(CUTS)) {
    it(`is cut where the peer closes in the ${part} of its answer`, async () => {
      const url = await serve(begin, "");
      const call = exchange({ method: "GET", url, timeoutMs: TIMEOUT_MS });
      const failed = call.catch((reason: unknown) => reason);
      const hasBegun = () => (socket?.bytesWritten ?? 0) > 0;
      await until(hasBegun, "the answer has begun");
      socket?.end();
      expect(await failed).to.have.property("isCut", true);
    });

    it(`is not cut where it times out in the ${part} of its answer`, async () => {
      const url = await serve(begin, "");
      const call = exchange({ method: "GET", url, timeoutMs: 200 });
      const err: unknown = await call.catch((reason: unknown) => reason);
      expect(err).to.have.property("isCut", false);
    });
  }
});
