/** What callers say of their prompts can't harm the stream to the holder. */
import { expect } from "chai";

import { PlaceCall } from "../../src/gen/snowgate.js";
import { toPlaceAsk } from "../../src/placement/messages.js";
import type { PlacementRequest } from "../../src/scheduling/index.js";

const ASK: PlacementRequest = {
  id: "e/1",
  service: "model",
  route: "r",
  domain: "d",
  model: "m",
  promptTokens: 200,
  outputTokens: 10,
  mostOutputTokens: 10,
  parts: [{ id: "aa", tokens: 200 }],
  objectiveLeftMs: 100,
  deadlineLeftMs: 500,
  answerLeftMs: 500,
  priority: 0,
  isReturn: false,
  avoid: [],
  unavailable: [],
};

/*
 * A number that a message can't hold ends the whole stream to the holder,
 * with the asks of all other requests; told again to the next holder, it
 * ends that stream too.
 */
describe("an ask with numbers that no message holds", () => {
  const odd = [-1, 0.5, 2 ** 31, 2 ** 32, 99_999_999_999, 1e300, Infinity, NaN];
  const fields = [
    "promptTokens",
    "outputTokens",
    "mostOutputTokens",
    "objectiveLeftMs",
    "deadlineLeftMs",
    "answerLeftMs",
    "priority",
  ] as const;
  for (const field of fields) {
    it(`is sent all the same: ${field}`, () => {
      for (const value of [...odd, ...odd.map((number) => -number)]) {
        const ask = toPlaceAsk({ ...ASK, [field]: value });
        const call = PlaceCall.fromPartial({ service: "model", ask });
        expect(
          () => PlaceCall.encode(call).finish(),
          `${value}`,
        ).to.not.throw();
      }
    });
  }

  it("is sent all the same: tokens of a part", () => {
    for (const tokens of odd) {
      const ask = toPlaceAsk({ ...ASK, parts: [{ id: "aa", tokens }] });
      const call = PlaceCall.fromPartial({ service: "model", ask });
      expect(() => PlaceCall.encode(call).finish()).to.not.throw();
    }
  });

  it("says what fits as it is", () => {
    const { promptTokens, objectiveLeftMs } = toPlaceAsk(ASK);
    expect([promptTokens, objectiveLeftMs]).to.deep.equal([200, 100]);
  });
});
