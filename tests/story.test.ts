/** One request's story out of several processes' logs. */
import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import os from "node:os";
import path from "node:path";

import { buildStory, parseLog, renderStory } from "../src/cli/requestStory.js";
import { DIST } from "./support/processes.js";

const line = (
  second: number,
  process: string,
  message: string,
  fields: object = {},
): string => {
  const time = `2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z`;
  return JSON.stringify({ time, level: "info", process, message, ...fields });
};

const ENTRY = [
  line(2, "entry-1", "configuration in force", { version: 4 }),
  line(20, "entry-1", "placed", { requestId: "a", runner: "r-1" }),
  line(20, "entry-1", "placed", { requestId: "b", runner: "r-2" }),
  line(21, "entry-1", "send failed", { requestId: "a", replica: "r-1" }),
  line(22, "entry-1", "request", { requestId: "a", outcome: "cut" }),
  line(22, "entry-1", "store lost", { kind: "config" }),
  "not a line of the log {",
].join("\n");

const SCHEDULER = [
  line(19, "scheduler-1", "change of stage ordered", { replica: "r-1" }),
  line(19, "scheduler-1", "change of stage ordered", { replica: "r-2" }),
  line(19, "scheduler-1", "lease taken", { epoch: 2 }),
].join("\n");

describe("a request's story", () => {
  const { lines, unreadable } = parseLog(`${ENTRY}\n${SCHEDULER}`);

  it("has its own lines in order of time", () => {
    const own = buildStory(lines, "a").own.map((item) => item.message);
    expect(own).to.eql(["placed", "send failed", "request"]);
    expect(unreadable).to.equal(1);
  });

  it("has what was believed of its replicas and processes then", () => {
    const { context } = buildStory(lines, "a");
    const seen = context.map((item) => [item.message, item.replica]);
    expect(seen).to.eql([
      ["change of stage ordered", "r-1"],
      ["store lost", undefined],
    ]);
  });

  it("has the ends of replicas under the same request, however long ago", () => {
    const ended = { replica: "r-9", digests: "4.other,4.same" };
    const log = [
      line(1, "entry-2", "replica ended", ended),
      line(1, "entry-2", "replica ended", { replica: "r-8", digests: "4.x" }),
      line(2, "entry-3", "request quarantined", { digest: "4.same" }),
      line(50, "entry-1", "request", { requestId: "c", digest: "4.same" }),
    ];
    const { context } = buildStory(parseLog(log.join("\n")).lines, "c");
    const seen = context.map((item) => item.message);
    expect(seen).to.eql(["replica ended", "request quarantined"]);
  });

  it("shows fields, and not those that say nothing", () => {
    const text = renderStory(buildStory(lines, "a"));
    expect(text).to.include("entry-1  request  outcome=cut");
    expect(text).to.not.include("requestId");
  });

  describe("command line", () => {
    const folder = mkdtempSync(path.join(os.tmpdir(), "story-"));
    const files = ["entry.log", "scheduler.log"].map((name) =>
      path.join(folder, name),
    );
    [ENTRY, SCHEDULER].forEach((text, at) => writeFileSync(files[at]!, text));

    const run = (args: string[]) => {
      const main = path.join(DIST, "src/cli/main.js");
      return spawnSync(process.execPath, [main, "story", ...args], {
        encoding: "utf8",
      });
    };

    it("reads the files and tells what it could not read", () => {
      const { status, stdout, stderr } = run(["a", ...files]);
      expect(status).to.equal(0);
      expect(stdout).to.include("change of stage ordered");
      expect(stderr).to.equal("1 lines can't be read\n");
    });

    const bad = [
      { name: "an unknown request", args: ["z", ...files], status: 1 },
      { name: "no file", args: ["a"], status: 2 },
      { name: "a missing file", args: ["a", "/nowhere.log"], status: 2 },
    ];
    for (const { name, args, status } of bad) {
      it(`${name}: a clear message and a code`, () => {
        const result = run(args);
        expect(result.status).to.equal(status);
        expect(result.stderr).to.not.equal("");
      });
    }
  });
});
