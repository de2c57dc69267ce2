/** Which keys are accepted, and for how long after the configuration was last proven current. */
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
const LARGE_WORKSPACE = {
  name: "large",
  keyDigests: [keyDigest("k-1"), keyDigest("k-2")],
  priority: 1,
};
const SMALL_WORKSPACE = {
  name: "small",
  keyDigests: [keyDigest("k-3")],
  priority: undefined,
};
const KEYRING = new Keyring([LARGE_WORKSPACE, SMALL_WORKSPACE]);

/** The name or kind of an allowed claim, or the status of a refusal. */
const outcomeOf = (verdict: KeyCheckResult): string | number => {
  if (verdict.kind === "refused") return verdict.failure.status;
  const { claim } = verdict;
  return claim.kind === "workspace" ? claim.workspace.name : claim.kind;
};

describe("keys of workspaces", () => {
  describe("a request", () => {
    const cases = [
      { key: "k-1", ageMs: 0, expected: "large" },
      { key: "k-2", ageMs: 3999, expected: "large" },
      { key: "k-3", ageMs: 4000, expected: "small" },
      { key: "k-3", ageMs: 4001, expected: 503 },
      { key: "k-3", ageMs: Infinity, expected: 503 },
      { key: "k-9", ageMs: 0, expected: 401 },
      { key: "k-9", ageMs: 3000, expected: 401 },
      { key: "k-9", ageMs: 3001, expected: 503 },
      { key: "k-9", ageMs: 9000, expected: 503 },
      { key: undefined, ageMs: 0, expected: 401 },
      { key: undefined, ageMs: 3001, expected: 503 },
    ];
    for (const { key, ageMs, expected } of cases) {
      it(`with ${key ?? "no key"} and a proof age of ${ageMs} ms: ${expected}`, () => {
        const digest = key === undefined ? undefined : keyDigest(key);
        const verdict = checkKey({
          keyring: KEYRING,
          isPublic: false,
          digest,
          proofAgeMs: ageMs,
          bounds: BOUNDS,
        });
        expect(outcomeOf(verdict)).to.equal(expected);
      });
    }

    it("that is refused is reported as not run, and as retryable only when the proof is too old", () => {
      const check = { keyring: KEYRING, isPublic: false, bounds: BOUNDS };
      const stale = checkKey({ ...check, digest: undefined, proofAgeMs: 9000 });
      const unknown = checkKey({ ...check, digest: undefined, proofAgeMs: 0 });
      if (stale.kind !== "refused" || unknown.kind !== "refused") {
        throw new Error("both are refused");
      }
      expect(stale.failure.verdict).to.equal("not-run");
      expect(stale.failure.retryAfterMs).to.be.greaterThan(0);
      expect(unknown.failure.verdict).to.equal("not-run");
      expect(unknown.failure.retryAfterMs).to.equal(undefined);
    });

    it("on a public route needs no key, however old the proof is", () => {
      const check = { keyring: KEYRING, isPublic: true, bounds: BOUNDS };
      const digest = keyDigest("k-1");
      expect(outcomeOf(checkKey({ ...check, digest, proofAgeMs: 0 }))).to.equal(
        "public",
      );
      expect(
        outcomeOf(
          checkKey({ ...check, digest: undefined, proofAgeMs: Infinity }),
        ),
      ).to.equal("public");
    });

    it("is allowed when the configuration has no workspaces", () => {
      const verdict = checkKey({
        keyring: undefined,
        isPublic: false,
        digest: undefined,
        proofAgeMs: Infinity,
        bounds: BOUNDS,
      });
      expect(outcomeOf(verdict)).to.equal("open");
    });

    it("is served at any proof age when the deployment sets no revocation bound", () => {
      const bounds = { revokeMs: Infinity, applyMs: 3000 };
      const check = { keyring: KEYRING, isPublic: false, bounds };
      const digest = keyDigest("k-1");
      const verdict = checkKey({ ...check, digest, proofAgeMs: 60_000 });
      expect(outcomeOf(verdict)).to.equal("large");
    });
  });

  describe("the instant up to which an answer of the store proves the configuration", () => {
    const cases: { name: string; answer: FeedAnswer; asOf: number }[] = [
      {
        name: "a list: when it was requested",
        answer: { sentAt: 100, answeredAt: 900, waitMs: 0, hasChanges: true },
        asOf: 100,
      },
      {
        name: "changes: when they were requested",
        answer: {
          sentAt: 100,
          answeredAt: 2000,
          waitMs: 2500,
          hasChanges: true,
        },
        asOf: 100,
      },
      {
        name: "a wait that timed out: the end of the wait",
        answer: {
          sentAt: 100,
          answeredAt: 2610,
          waitMs: 2500,
          hasChanges: false,
        },
        asOf: 2600,
      },
      {
        name: "a wait that a timer of the store ended too soon: 1 ms before its end",
        answer: {
          sentAt: 100,
          answeredAt: 2599.7,
          waitMs: 2500,
          hasChanges: false,
        },
        asOf: 2599,
      },
      {
        name: "a wait that ended 1 ms early without a change: when it was requested",
        answer: {
          sentAt: 100,
          answeredAt: 2599,
          waitMs: 2500,
          hasChanges: false,
        },
        asOf: 100,
      },
      {
        name: "a wait that ended early without a change: when it was requested",
        answer: {
          sentAt: 100,
          answeredAt: 2000,
          waitMs: 2500,
          hasChanges: false,
        },
        asOf: 100,
      },
      {
        name: "an answer left unread while the process was stalled: the end of the wait, not the reading",
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

    it("never moves back when an older proof arrives", () => {
      const freshness = new ConfigFreshness();
      expect(freshness.ageMs(1000)).to.equal(Infinity);
      freshness.prove(800);
      freshness.prove(300);
      expect(freshness.ageMs(1000)).to.equal(200);
    });
  });

  it("no key is served after the revocation bound, even at the watch's maximum lag", () => {
    // The key is revoked at 1,000 ms. The watch misses it for its maximum lag
    // and then answers that nothing has changed.
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
