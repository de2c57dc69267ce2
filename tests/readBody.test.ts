/** What the body of a request costs in memory. */
import http from "node:http";
import { text } from "node:stream/consumers";

import { expect } from "chai";

import { startProgram } from "./support/processes.js";
import type { Program } from "./support/processes.js";

const BODY_BYTES = 1024 * 1024;
/** An entry serves bodies of up to 4 MB with a heap of 160 MB. */
const HEAP_MB = 40;

describe("the body of a request", () => {
  let reader: Program;

  beforeEach(async () => {
    const script = "tests/support/bodyServer.js";
    const nodeArgs = [`--max-old-space-size=${HEAP_MB}`];
    reader = await startProgram("reader", script, [], 1, nodeArgs);
  });

  afterEach(() => reader.signal("SIGKILL"));

  /** What the reader answers, or that it has ended. */
  const sendInChunksOf = async (chunkBytes: number): Promise<string> => {
    const url = `http://${reader.at.callers}`;
    const req = http.request(url, { method: "POST" });
    req.on("error", () => undefined);
    const answered = new Promise<string>((resolve) =>
      req.once("response", (res) => resolve(text(res))),
    );
    const ended = reader.ended.then(() => "the reader has ended");
    const outcome = Promise.race([answered, ended]);
    let isOver = false;
    void outcome.then(() => (isOver = true));
    const chunk = Buffer.alloc(chunkBytes, "x");
    for (let sent = 0; sent < BODY_BYTES && !isOver; sent += chunkBytes) {
      if (req.write(chunk)) continue;
      const drained = new Promise((resolve) => req.once("drain", resolve));
      await Promise.race([drained, outcome]);
    }
    req.end();
    return outcome;
  };

  for (const chunkBytes of [1, 64 * 1024]) {
    it(`in chunks of ${chunkBytes} bytes takes memory by its size`, async () => {
      expect(await sendInChunksOf(chunkBytes)).to.equal(String(BODY_BYTES));
    });
  }
});
