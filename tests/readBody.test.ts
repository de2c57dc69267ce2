/** What the body of a request costs in memory. */
import http from "node:http";
import path from "node:path";
import { text } from "node:stream/consumers";
import { Worker } from "node:worker_threads";

import { expect } from "chai";

import { DIST } from "./support/processes.js";

const READER = path.join(DIST, "tests/support/bodyServer.js");
const BODY_BYTES = 1024 * 1024;
/** An entry serves bodies of up to 4 MB with a heap of 160 MB. */
const HEAP_MB = 40;

describe("the body of a request", () => {
  let worker: Worker;
  let address: string;
  /** Why the reader ended. */
  let ended: Promise<string>;

  beforeEach(async () => {
    const resourceLimits = { maxOldGenerationSizeMb: HEAP_MB };
    worker = new Worker(READER, { resourceLimits });
    ended = new Promise((resolve) =>
      worker.once("error", ({ message }) => resolve(message)),
    );
    address = await new Promise((resolve) => worker.once("message", resolve));
  });

  afterEach(() => worker.terminate());

  /** What the reader answers, or why it ended. */
  const sendInChunksOf = async (chunkBytes: number): Promise<string> => {
    const req = http.request(`http://${address}`, { method: "POST" });
    req.on("error", () => undefined);
    const answered = new Promise<string>((resolve) =>
      req.once("response", (res) => resolve(text(res))),
    );
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
