/** Where an event stream may end, and that only whole events come out of it. */
import { expect } from "chai";
import fc from "fast-check";

import { EventSplitter } from "../../src/gateway/eventSplitter.js";

const SPLIT_BYTES = 20_000;
/** Bytes may be searched for two line ends, copied twice and read as text. */
const MAX_STEPS_PER_BYTE = 8;

/** Bytes that `Buffer` methods went over while `work` ran. */
const countSteps = (work: () => void): number => {
  const { indexOf, copy, toString } = Buffer.prototype;
  const { concat } = Buffer;
  let steps = 0;
  Object.assign(Buffer.prototype, {
    indexOf(this: Buffer, value: number, from: number) {
      const found = indexOf.call(this, value, from);
      steps += (found < 0 ? this.length : found + 1) - from;
      return found;
    },
    copy(this: Buffer, ...args: Parameters<Buffer["copy"]>) {
      const copied = copy.apply(this, args);
      steps += copied;
      return copied;
    },
    toString(this: Buffer, ...args: Parameters<Buffer["toString"]>) {
      steps += this.length;
      return toString.apply(this, args);
    },
  });
  Buffer.concat = (list, length) => {
    const all = concat(list, length);
    steps += all.length;
    return all;
  };
  try {
    work();
  } finally {
    Object.assign(Buffer.prototype, { indexOf, copy, toString });
    Buffer.concat = concat;
  }
  return steps;
};

const LINE_ENDS = ["\n", "\r\n", "\r"] as const;

const isInside = (text: string): boolean => {
  const splitter = new EventSplitter();
  splitter.push(Buffer.from(text));
  return splitter.isInsideEvent;
};

describe("the events of a stream", () => {
  const ends: Record<string, { text: string; inside: boolean }> = {
    "nothing at all": { text: "", inside: false },
    "a whole event": { text: "id: 1\ndata: a\n\n", inside: false },
    "a line without its end": { text: "id: 1\ndata: a", inside: true },
    "one newline of two": { text: "id: 1\ndata: a\n", inside: true },
    "a carriage return of one line": { text: "data: a\r", inside: true },
    "half of a line end": { text: "data: a\r\n\r", inside: false },
    "a blank line more": { text: "data: a\n\n\n", inside: false },
    "a whole comment": { text: "data: a\n\n: kept\n", inside: false },
    "half of a comment": { text: "data: a\n\n: ke", inside: true },
    "a field without a blank line": {
      text: "data: a\n\nid: 2\n",
      inside: true,
    },
    "a field after a comment": { text: ": kept\nid: 2\n", inside: true },
  };
  for (const [title, { text, inside }] of Object.entries(ends)) {
    it(`are ${inside ? "broken off" : "whole"} after ${title}`, () => {
      expect(isInside(text)).to.equal(inside);
    });
  }

  const fills = {
    "one line": "x",
    "lines of one event": "data: x\n",
    "line ends": "\n",
    "carriage returns": "\r",
    comments: ": x\r\n",
  };
  for (const [title, fill] of Object.entries(fills)) {
    for (const chunkBytes of [1, 100, SPLIT_BYTES]) {
      it(`cost constant work for each byte of ${title} in chunks of ${chunkBytes} bytes`, () => {
        const text = fill.repeat(SPLIT_BYTES / fill.length);
        const bytes = Buffer.from(text);
        const splitter = new EventSplitter();
        const steps = countSteps(() => {
          for (let at = 0; at < bytes.length; at += chunkBytes)
            splitter.push(bytes.subarray(at, at + chunkBytes));
          void splitter.isInsideEvent;
        });
        expect(steps).to.be.at.most(MAX_STEPS_PER_BYTE * bytes.length);
      });
    }
  }

  for (const [title, fill] of Object.entries(fills)) {
    it(`are judged at the end of the stream without a search of ${title}`, () => {
      const splitter = new EventSplitter();
      splitter.push(Buffer.from(fill.repeat(SPLIT_BYTES / fill.length)));
      expect(countSteps(() => void splitter.isInsideEvent)).to.equal(0);
    });
  }

  const lineEnd = fc.constantFrom(...LINE_ENDS);
  const word = fc.stringMatching(/^[a-z]{0,8}$/);
  const streams = fc
    .tuple(fc.array(word, { minLength: 1, maxLength: 5 }), lineEnd)
    .map(([words, end]) =>
      words.map((text, at) => `id: ${at}${end}data: ${text}${end}${end}`),
    );
  const cuts = fc.array(fc.nat(300), { maxLength: 8 });

  /** The text in chunks that end at these places. */
  const chunksOf = (text: string, places: readonly number[]): string[] => {
    const ends = [...places, text.length].sort((a, b) => a - b);
    return ends.map((end, at) => text.slice(at === 0 ? 0 : ends[at - 1], end));
  };

  it("come out whole and in order, however they are split and wherever they end", () => {
    fc.assert(
      fc.property(streams, cuts, fc.nat(300), (events, places, length) => {
        const text = events.join("").slice(0, length);
        const splitter = new EventSplitter();
        const out = chunksOf(text, places)
          .map((chunk) => splitter.push(Buffer.from(chunk)).bytes.toString())
          .join("");
        const rest = splitter.pendingBytes;
        expect(out.length + rest).to.equal(text.length);
        const isAtBoundary = /(^|\n\n|\r\n\r|\r\n\r\n|\r\r)$/.test(text);
        expect(splitter.isInsideEvent).to.equal(!isAtBoundary);
        const restored = out + splitter.flush().toString();
        expect(restored).to.equal(text);
        expect(isInside(out)).to.equal(false);
      }),
      { numRuns: 2000 },
    );
  });
});
