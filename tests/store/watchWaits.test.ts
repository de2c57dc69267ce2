/** Decisions on how long a watch of the store waits. */
import { expect } from "chai";

import { encodePosition, HolderVouches } from "../../src/store/index.js";
import { cancelCause, nextWaitMs } from "../../src/store/watchWaits.js";

const BASE_MS = 2500;
const COMMON = { baseWaitMs: BASE_MS, isProofOld: false };
const NEXT = { ...COMMON, isVouching: false, sinceVouchEndedMs: Infinity };
const news = (revision: number, entries = 16, isFresh = true) => ({
  isFresh,
  entries,
  seen: [{ kind: "k", revision }],
});

describe("how long a watch waits", () => {
  let vouches: HolderVouches;

  const wait = (position: number, now: number, isProbe = false): number => {
    const vouch = vouches.vouchFor("k", position, now);
    return nextWaitMs({ ...NEXT, position, vouch, isProbe });
  };
  const cause = (position: number, now: number, waitMs: number, sentAt = 0) => {
    const vouch = vouches.vouchFor("k", position, now);
    const input = { ...COMMON, vouch };
    return cancelCause(input, { sentAt, waitMs }, now);
  };

  beforeEach(() => (vouches = new HolderVouches()));

  const cases = [
    { name: "long at the holder's position", news: news(7), waitMs: 15_000 },
    { name: "as before behind it", news: news(8), waitMs: BASE_MS },
    { name: "as before in a small fleet", news: news(7, 15), waitMs: BASE_MS },
    {
      name: "as before where the lease is old",
      news: news(7, 16, false),
      waitMs: BASE_MS,
    },
    {
      name: "as before where the store was restored, at a lower revision",
      news: news(encodePosition({ era: 1, revision: 3 })),
      waitMs: BASE_MS,
    },
  ];
  for (const { name, news, waitMs } of cases) {
    it(name, () => {
      vouches.record(news, 0);
      expect(wait(7, 900)).to.equal(waitMs);
    });
  }

  it("as before 1 s after the holder's last message, and the call ends", () => {
    vouches.record(news(7), 0);
    expect(cause(7, 1000, 15_000)).to.equal(undefined);
    expect(cause(7, 1001, 15_000)).to.equal("vouch ended");
    expect(cause(7, 1001, BASE_MS)).to.equal(undefined);
    expect([wait(7, 1001), wait(7, 1001, true)]).to.eql([BASE_MS, 500]);
  });

  it("as before once the holder's store is of another era, at once", () => {
    vouches.record(news(7), 0);
    vouches.record(news(encodePosition({ era: 1, revision: 3 })), 100);
    expect(cause(7, 100, 15_000)).to.equal("vouch ended");
  });

  it("until news is missing for 300 ms, and not again for the same news", () => {
    vouches.record(news(7), 0);
    vouches.record(news(8), 500);
    vouches.record(news(6), 600);
    expect(cause(7, 799, 15_000)).to.equal(undefined);
    expect(cause(7, 800, 15_000)).to.equal("news missing");
    expect(cause(8, 800, 15_000)).to.equal(undefined);
    expect(cause(7, 1500, 500, 801)).to.equal(undefined);
  });

  it("as before while the proof is old: the holder's own watch may be cut", () => {
    vouches.record(news(7), 0);
    const vouch = vouches.vouchFor("k", 7, 0);
    const input = { ...COMMON, vouch, isProofOld: true };
    const next = { ...NEXT, ...input, position: 7, isProbe: false };
    expect(nextWaitMs(next)).to.equal(BASE_MS);
    const call = { sentAt: 0, waitMs: 15_000 };
    expect(cancelCause(input, call, 1)).to.equal("proof old");
    expect(cancelCause(input, { ...call, waitMs: BASE_MS }, 1)).to.equal(
      undefined,
    );
  });

  it("as before for 5 s after a vouch ended, so that calls stay few", () => {
    vouches.record(news(7), 0);
    const vouch = vouches.vouchFor("k", 7, 0);
    const next = { ...NEXT, vouch, position: 7, isProbe: false };
    const waits = [4999, 5000].map((sinceVouchEndedMs) =>
      nextWaitMs({ ...next, sinceVouchEndedMs }),
    );
    expect(waits).to.eql([BASE_MS, 15_000]);
  });

  it("1 s at most where this process vouches, also while another one does", () => {
    vouches.record(news(7), 0);
    const next = { ...NEXT, isVouching: true, position: 7, isProbe: false };
    const waits = [undefined, vouches.vouchFor("k", 7, 0)].map((vouch) =>
      nextWaitMs({ ...next, vouch }),
    );
    expect(waits).to.eql([1000, 1000]);
  });

  describe("while changes go on", () => {
    /** The holder reports a newer position each 250 ms, from 8 on. */
    const recordUntil = (endsAt: number): void => {
      for (let at = 0; at <= endsAt; at += 250)
        vouches.record(news(8 + at / 250), at);
    };

    it("newer news does not extend the wait for the one that is missing", () => {
      recordUntil(250);
      expect(cause(7, 299, 15_000, -1)).to.equal(undefined);
      expect(cause(7, 300, 15_000, -1)).to.equal("news missing");
    });

    it("a call that the store answers slowly is not cancelled again", () => {
      recordUntil(2000);
      expect(cause(7, 2300, BASE_MS, 301)).to.equal(undefined);
    });
  });
});
