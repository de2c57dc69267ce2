/** What replies that are not whole keep in memory. */
import { expect } from "chai";
import fc from "fast-check";

import { ReplyBuffers } from "../../src/gateway/replyBuffers.js";
import { ByteBuffer } from "../../src/shared/byteBuffer.js";

const MAX_BYTES = 1000;

describe("bytes kept for replies", () => {
  it("stay within the bound over all of them, and cost the largest its place", () => {
    const step = fc.record({ at: fc.nat(5), bytes: fc.nat(2 * MAX_BYTES) });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const buffers = new ReplyBuffers(MAX_BYTES);
        const kept = new Map<number, number>();
        const replies = [0, 1, 2, 3, 4, 5].map((at) => ({
          drop: () => {
            const most = Math.max(...kept.values());
            expect(kept.get(at)).to.equal(most);
            kept.delete(at);
          },
        }));
        for (const { at, bytes } of steps) {
          kept.set(at, bytes);
          buffers.set(replies[at]!, bytes);
          const total = [...kept.values()].reduce((sum, item) => sum + item, 0);
          expect(total).to.be.at.most(MAX_BYTES);
        }
      }),
    );
  });

  it("are those that arrived, in order, however they are split", () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 40 }), {
      maxLength: 200,
    });
    fc.assert(
      fc.property(chunks, fc.nat(200), (parts, takenAfter) => {
        const buffer = new ByteBuffer();
        const taken: Buffer[] = [];
        parts.forEach((part, at) => {
          buffer.append(Buffer.from(part));
          if (at === takenAfter) taken.push(buffer.take());
        });
        const rest = buffer.take();
        expect(buffer.size).to.equal(0);
        const all = Buffer.concat([...taken, rest]);
        expect(all.equals(Buffer.concat(parts))).to.equal(true);
      }),
    );
  });
});
