import { expect } from "chai";
import fc from "fast-check";

import { ByteBlocks } from "../../src/shared/byteBlocks.js";

const KB = 1024;

describe("bytes in blocks", () => {
  it("are the bytes that were appended, in chunks of any size", () => {
    const sizes = fc.array(
      fc.oneof(fc.nat(40), fc.integer({ min: 7 * KB, max: 40 * KB })),
      { maxLength: 200 },
    );
    fc.assert(
      fc.property(sizes, (chunkSizes) => {
        const blocks = new ByteBlocks();
        const chunks = chunkSizes.map((size, at) => Buffer.alloc(size, at));
        for (const chunk of chunks) blocks.append(chunk);
        const whole = Buffer.concat(chunks);
        expect(blocks.size).to.equal(whole.length);
        expect(blocks.take().equals(whole)).to.equal(true);
        expect(blocks.size).to.equal(0);
      }),
    );
  });
});
