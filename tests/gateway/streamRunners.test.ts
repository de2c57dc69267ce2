/** Which engines run the rest of a stream that has begun. */
import { expect } from "chai";

import { EngineScheduler } from "../../src/scheduling/index.js";
import type {
  EngineView,
  PlacementRequest,
} from "../../src/scheduling/index.js";
import { placementRequest } from "../support/placementPeers.js";

const SLOTS = 4;

const engine = (
  id: string,
  stage: EngineView["stage"],
  softwareVersion: string,
): EngineView => ({
  id,
  stage,
  softwareVersion,
  domain: "one",
  slots: SLOTS,
  kvCapacityTokens: 40_000,
});

const FLEET = [
  engine("pre-1", "prefill", "v1"),
  engine("dec-1", "decode", "v1"),
  engine("dec-2", "decode", "v2"),
];

const request = (
  id: string,
  more: Partial<PlacementRequest> = {},
): PlacementRequest => ({
  ...placementRequest(id),
  promptTokens: 200,
  parts: [],
  objectiveLeftMs: 500,
  deadlineLeftMs: 2000,
  answerLeftMs: 2000,
  isReturn: more.runnerVersion !== undefined,
  ...more,
});

describe("the rest of a stream", () => {
  let scheduler: EngineScheduler;

  const place = (id: string, more: Partial<PlacementRequest> = {}) =>
    scheduler.place(request(id, more), 0);
  const runnerOf = (answer: ReturnType<typeof place>): string =>
    answer.kind === "granted" ? answer.runner : answer.kind;
  const end = (id: string) =>
    scheduler.onEvent({ kind: "ended", id, ok: true, firstEventMs: 10 }, 0);

  /** Streams of v1 until its engine is full; others have ended before. */
  const fill = (): void => {
    for (let at = 0; at < 5 * SLOTS; at += 1) {
      place(`over-${at}`);
      end(`over-${at}`);
    }
    for (let at = 0; at < SLOTS; at += 1)
      expect(runnerOf(place(`full-${at}`, { runnerVersion: "v1" }))).to.equal(
        "dec-1",
      );
  };

  beforeEach(() => {
    scheduler = new EngineScheduler(() => 1);
    scheduler.prefillModel.restoreCost({
      fixedMs: 0,
      tokenMs: 1 / 100,
      mPairMs: 0,
    });
    scheduler.setEngines(FLEET);
  });

  it("runs at engines of the version that began it, and of no other", () => {
    for (const [version, runner] of [
      ["v1", "dec-1"],
      ["v2", "dec-2"],
    ] as const)
      for (const promptTokens of [200, 6000]) {
        const id = `${version}-${promptTokens}`;
        const more = { runnerVersion: version, promptTokens };
        expect(runnerOf(place(id, more))).to.equal(runner);
      }
  });

  it("is refused at once if no engine of its version is listed", () => {
    const answer = place("r", { runnerVersion: "v3" });
    expect(answer).to.include({ why: "no-version", retryAfterMs: 0 });
  });

  it("may come back while an engine of its version is listed", () => {
    const answer = place("r", { runnerVersion: "v1", avoid: ["dec-1"] });
    expect(answer).to.include({ kind: "refused", why: "no-version" });
    expect(answer).to.have.property("retryAfterMs").that.is.greaterThan(0);
  });

  it("is refused from the queue once no engine of its version is left", () => {
    fill();
    expect(place("r", { runnerVersion: "v1" }).kind).to.equal("queued");
    const withoutV1 = FLEET.filter((item) => item.softwareVersion !== "v1");
    scheduler.setEngines(withoutV1);
    const [answered] = scheduler.answerQueued(0);
    expect(answered?.id).to.equal("r");
    const expected = { why: "no-version", retryAfterMs: 0 };
    expect(answered?.answer).to.include(expected);
  });

  it("gets the next slot of its version before streams that begin", () => {
    fill();
    expect(place("r", { runnerVersion: "v1" }).kind).to.equal("queued");
    end("full-0");
    for (let at = 0; at < SLOTS; at += 1)
      expect(runnerOf(place(`new-${at}`))).to.not.equal("dec-1");
    const [answered] = scheduler.answerQueued(0);
    expect(answered?.id).to.equal("r");
    expect(answered?.answer).to.include({ runner: "dec-1" });
  });
});
