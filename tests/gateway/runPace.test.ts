/** How long runs take by their tokens. */
import { expect } from "chai";

import { RunTimeEstimator } from "../../src/scheduling/runTimeEstimator.js";

describe("pace of runs", () => {
  it("expects nothing before a run has ended", () => {
    expect(new RunTimeEstimator().estimateMs(1000, 0)).to.equal(0);
  });

  it("expects by tokens, whatever the lengths that were seen", () => {
    const pace = new RunTimeEstimator();
    pace.observe(100, 80, 0);
    pace.observe(900, 720, 0);
    expect(pace.estimateMs(500, 0)).to.be.closeTo(400, 1);
  });

  it("follows engines that get slower", () => {
    const pace = new RunTimeEstimator();
    for (let run = 0; run < 50; run += 1) pace.observe(100, 80, run * 100);
    for (let run = 0; run < 50; run += 1) {
      pace.observe(100, 160, 60_000 + run * 100);
    }
    expect(pace.estimateMs(100, 65_000)).to.be.closeTo(160, 10);
  });
});
