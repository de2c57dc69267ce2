/** Positions in the history of a store that may be restored from a backup. */
import { expect } from "chai";

import {
  decodePosition,
  newEraLogger,
  StoreEra,
  encodePosition,
} from "../../src/store/index.js";
import { StatsdMetrics } from "../../src/telemetry/index.js";

describe("a position in the store's history", () => {
  it("is the revision itself when no era is named", () => {
    expect(encodePosition({ era: 0, revision: 77 })).to.equal(77);
  });

  it("sorts by era first, and decodes to what was encoded", () => {
    const before = { era: 1, revision: 900_000_000_000 };
    const after = { era: 2, revision: 1 };
    expect(encodePosition(after)).to.be.greaterThan(encodePosition(before));
    for (const position of [before, after]) {
      expect(decodePosition(encodePosition(position))).to.deep.equal(position);
    }
  });

  it("stays a safe integer, however large its parts are", () => {
    const last = encodePosition({ era: 1e9, revision: 1e300 });
    expect(Number.isSafeInteger(last)).to.equal(true);
  });
});

describe("the era of the store", () => {
  it("is the highest that a response has named", () => {
    const era = new StoreEra();
    expect(era.observe("3")).to.deep.equal({ kind: "first", era: 3 });
    expect(era.observe("3").kind).to.equal("same");
    expect(era.observe("5")).to.deep.equal({ kind: "risen", from: 3, to: 5 });
    expect(era.observe("4").kind).to.equal("past");
    expect(era.current).to.equal(5);
  });

  for (const text of ["", "x", "-1", "1.5", "1e3", "9".repeat(30), "1, 2"]) {
    it(`stays the last valid one when a response names "${text.slice(0, 8)}"`, () => {
      const era = new StoreEra();
      era.observe("3");
      expect(era.observe(text)).to.deep.equal({ kind: "unreadable", text });
      expect(era.observe(undefined).kind).to.equal("same");
      expect(era.current).to.equal(3);
    });
  }

  it("is logged once per change, and once while it is unreadable", () => {
    const lines: string[] = [];
    const recordLine = (message: string) => void lines.push(message);
    const log = {
      info: recordLine,
      warn: recordLine,
      error: recordLine,
      debug: recordLine,
    };
    const onEra = newEraLogger(log, new StatsdMetrics(undefined));
    const era = new StoreEra();
    const observedEras = ["1", "1", "2", "2", "1", "x", "x", undefined];
    for (const text of observedEras) onEra(era.observe(text));
    expect(lines).to.deep.equal([
      "store era",
      "store restored from a copy",
      "invalid store era",
    ]);
  });
});
