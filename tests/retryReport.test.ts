/** Retries of all processes, as their logs name them. */
import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import os from "node:os";
import path from "node:path";

import { parseLog } from "../src/cli/requestStory.js";
import { buildRetryReport } from "../src/cli/retryReport.js";
import { worstWindow } from "../src/shared/worstWindow.js";
import { DIST } from "./support/processes.js";

const LIMITS = { ratio: 0.2, burst: 2, windowMs: 10_000 };

const line = (second: number, service: string, retries: number): string => {
  const time = `2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z`;
  const fields = { process: "entry-1", message: "request", service, retries };
  return JSON.stringify({ time, ...fields });
};

const LOG = [
  line(1, "model", 0),
  line(20, "model", 3),
  line(29, "model", 1),
  line(30, "model", 1),
  line(20, "plain", 0),
].join("\n");

describe("the worst window of retries", () => {
  it("is the one in which most of the allowed ones were sent", () => {
    const { lines } = parseLog(LOG);
    const report = buildRetryReport(lines, LIMITS);
    expect([...report.keys()]).to.eql(["model"]);
    const { from, ...counts } = report.get("model")!;
    expect(new Date(from).getUTCSeconds()).to.equal(20);
    expect(counts).to.eql({ retries: 4, requests: 2, allowed: 2.4 });
  });

  it("is allowed the requests of the window before it, or half before it", () => {
    const worst = (sentAt: number) =>
      worstWindow([sentAt, sentAt, sentAt], [20_000], LIMITS)?.requests;
    expect(worst(20_000)).to.equal(3);
    expect(worst(15_000)).to.equal(3);
    expect(worst(10_000)).to.equal(3);
    expect(worst(9_999)).to.equal(0);
    expect(worst(30_000)).to.equal(0);
  });

  it("is none without retries", () => {
    expect(worstWindow([1, 2], [], LIMITS)).to.equal(undefined);
  });

  describe("command line", () => {
    const file = path.join(mkdtempSync(path.join(os.tmpdir(), "log-")), "log");
    writeFileSync(file, LOG);

    const run = (args: string[]) => {
      const main = path.join(DIST, "src/cli/main.js");
      return spawnSync(process.execPath, [main, "retries", ...args], {
        encoding: "utf8",
      });
    };

    it("prints it for each service", () => {
      const { status, stdout } = run([file, "--burst", "2"]);
      expect(status).to.equal(0);
      expect(stdout).to.equal(
        "model  4 retries  2 allowed for 2 requests  from 2026-01-01T00:00:20.000Z\n",
      );
    });

    const bad = [
      { name: "no file", args: [] },
      { name: "a missing file", args: ["/nowhere.log"] },
      { name: "a ratio that is no number", args: [file, "--ratio", "much"] },
      { name: "a window of no length", args: [file, "--window", "0"] },
    ];
    for (const { name, args } of bad) {
      it(`${name}: a clear message and a code`, () => {
        const { status, stderr } = run(args);
        expect(status).to.equal(2);
        expect(stderr).to.match(/^snowgate: /);
      });
    }
  });
});
