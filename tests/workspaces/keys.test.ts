/** Who may be served by which key, and for how long a process may believe it. */
import { expect } from "chai";

import type { FeedAnswer } from "../../src/store/index.js";
import {
  checkKey,
  ConfigFreshness,
  MAX_WATCH_LAG_MS,
  keyDigest,
  Keyring,
  maxProofAgeMs,
  provenAt,
} from "../../src/workspaces/index.js";
import type { KeyCheckResult } from "../../src/workspaces/index.js";

const BOUNDS = { revokeMs: 5000, applyMs: 3000 };
const LARGE = {
  name: "large",
  keyDigests: [keyDigest("k-1"), keyDigest("k-2")],
  priority: 1,
};
const SMALL = {
  name: "small",
  keyDigests: [keyDigest("k-3")],
  priority: undefined,
};
const KEYRING = new Keyring([LARGE, SMALL]);

/** What a verdict says, in a word or a status. */
const said = (verdict: KeyCheckResult): string | number => {
  if (verdict.kind === "refused") return verdict.failure.status;
  const { claim } = verdict;
  return claim.kind === "workspace" ? claim.workspace.name : claim.kind;
};

describe("keys of workspaces", () => {
  describe("a request", () => {
    const cases = [
      { key: "k-1", ageMs: 0, says: "large" },
      { key: "k-2", ageMs: 3999, says: "large" },
      { key: "k-3", ageMs: 4000, says: "small" },
      { key: "k-3", ageMs: 4001, says: 503 },
      { key: "k-3", ageMs: Infinity, says: 503 },
      { key: "k-9", ageMs: 0, says: 401 },
      { key: "k-9", ageMs: 3000, says: 401 },
      { key: "k-9", ageMs: 3001, says: 503 },
      { key: "k-9", ageMs: 9000, says: 503 },
      { key: undefined, ageMs: 0, says: 401 },
      { key: undefined, ageMs: 3001, says: 503 },
    ];
    for (const { key, ageMs, says } of cases) {
      it(`with ${key ?? "no key"}, proof of ${ageMs} ms: ${says}`, () => {
        const digest = key === undefined ? undefined : keyDigest(key);
        const verdict = checkKey({
          keyring: KEYRING,
          isPublic: false,
          digest,
          proofAgeMs: ageMs,
          bounds: BOUNDS,
        });
        expect(said(verdict)).to.equal(says);
      });
    }

    it("that is refused has not run; where no proof was, it may return", () => {
      const ask = { keyring: KEYRING, isPublic: false, bounds: BOUNDS };
      const stale = checkKey({ ...ask, digest: undefined, proofAgeMs: 9000 });
      const unknown = checkKey({ ...ask, digest: undefined, proofAgeMs: 0 });
      if (stale.kind !== "refused" || unknown.kind !== "refused") {
        throw new Error("both are refused");
      }
      expect(stale.failure.verdict).to.equal("not-run");
      expect(stale.failure.retryAfterMs).to.be.greaterThan(0);
      expect(unknown.failure.verdict).to.equal("not-run");
      expect(unknown.failure.retryAfterMs).to.equal(undefined);
    });

    it("on a public route needs no key, however old the proof is", () => {
      const ask = { keyring: KEYRING, isPublic: true, bounds: BOUNDS };
      const digest = keyDigest("k-1");
      expect(said(checkKey({ ...ask, digest, proofAgeMs: 0 }))).to.equal(
        "public",
      );
      expect(
        said(checkKey({ ...ask, digest: undefined, proofAgeMs: Infinity })),
      ).to.equal("public");
    });

    it("passes where the configuration has no workspaces", () => {
      const verdict = checkKey({
        keyring: undefined,
        isPublic: false,
        digest: undefined,
        proofAgeMs: Infinity,
        bounds: BOUNDS,
      });
      expect(said(verdict)).to.equal("open");
    });

    it("of a deployment without a bound is served by any proof", () => {
      const bounds = { revokeMs: Infinity, applyMs: 3000 };
      const ask = { keyring: KEYRING, isPublic: false, bounds };
      const digest = keyDigest("k-1");
      const verdict = checkKey({ ...ask, digest, proofAgeMs: 60_000 });
      expect(said(verdict)).to.equal("large");
    });
  });

  describe("what an answer of the store proves", () => {
    const cases: { name: string; answer: FeedAnswer; asOf: number }[] = [
      {
        name: "a list: the instant at which it was asked for",
        answer: { sentAt: 100, answeredAt: 900, waitMs: 0, hasChanges: true },
        asOf: 100,
      },
      {
        name: "changes: the instant at which they were asked for",
        answer: {
          sentAt: 100,
          answeredAt: 2000,
          waitMs: 2500,
          hasChanges: true,
        },
        asOf: 100,
      },
      {
        name: "a wait that ran out: its end",
        answer: {
          sentAt: 100,
          answeredAt: 2610,
          waitMs: 2500,
          hasChanges: false,
        },
        asOf: 2600,
      },
      {
        name: "a wait that ended early without a change: its begin",
        answer: {
          sentAt: 100,
          answeredAt: 2000,
          waitMs: 2500,
          hasChanges: false,
        },
        asOf: 100,
      },
      {
        name: "an answer that lay unread while the process stood still: no more",
        answer: {
          sentAt: 100,
          answeredAt: 9000,
          waitMs: 2500,
          hasChanges: false,
        },
        asOf: 2600,
      },
    ];
    for (const { name, answer, asOf } of cases) {
      it(name, () => expect(provenAt(answer)).to.equal(asOf));
    }

    it("never makes the knowledge older than it was", () => {
      const freshness = new ConfigFreshness();
      expect(freshness.ageMs(1000)).to.equal(Infinity);
      freshness.prove(800);
      freshness.prove(300);
      expect(freshness.ageMs(1000)).to.equal(200);
    });
  });

  it("no key is served after its bound, whatever the watch fails to hear", () => {
    // The key goes at 1,000; the watch is deaf for the longest time and says
    // at its end that nothing has changed.
    const freshness = new ConfigFreshness();
    const sentAt = 1000 + MAX_WATCH_LAG_MS - 2500;
    const answeredAt = 1000 + MAX_WATCH_LAG_MS;
    freshness.prove(
      provenAt({ sentAt, answeredAt, waitMs: 2500, hasChanges: false }),
    );
    const lastServedAt = answeredAt + maxProofAgeMs(BOUNDS);
    const isServed = (now: number): boolean =>
      checkKey({
        keyring: KEYRING,
        isPublic: false,
        digest: keyDigest("k-1"),
        proofAgeMs: freshness.ageMs(now),
        bounds: BOUNDS,
      }).kind === "allowed";
    expect(isServed(lastServedAt)).to.equal(true);
    expect(isServed(lastServedAt + 1)).to.equal(false);
    expect(lastServedAt).to.equal(1000 + BOUNDS.revokeMs);
  });
});
