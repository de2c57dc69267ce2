import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { expect } from "chai";

import { configSchema } from "../src/config/index.js";
import { planRequest } from "../src/entry/requestPlan.js";
import {
  filterRows,
  parseStatement,
  StatementError,
} from "../src/query/index.js";
import {
  loadSettings,
  parseCheckedYaml,
  settingsSchema,
} from "../src/settings/index.js";
import { post } from "./support/callers.js";
import { Fleet, OPERATOR_TOKEN, SECRET } from "./support/fleet.js";
import { DIST, stopAll } from "./support/processes.js";
import { engineSpec, MODEL_SERVICE } from "./support/specs.js";
import { until } from "./support/until.js";

const ROOT = path.resolve(DIST, "..");
const EXAMPLES = path.join(ROOT, "examples");

const GOOD = `role: entry
id: entry-1
site: bilbao
domain: a
listen: {callers: 127.0.0.1:0, operators: 127.0.0.1:0, peers: 127.0.0.1:0}
objectApi: {url: http://127.0.0.1:9000}
peers: {secret: long-enough}
`;

describe("settings", () => {
  const BAD: [string, string, RegExp][] = [
    ["a truncated file", GOOD.slice(0, 95), /x\.yaml:5: not valid YAML/],
    ["an unknown key", `${GOOD}colour: red\n`, /x\.yaml:8: .*"colour"/],
    [
      "a wrong unit",
      `${GOOD}lameDuckMs: 3s\n`,
      /x\.yaml:8: lameDuckMs: .*number/,
    ],
    [
      "a short secret",
      GOOD.replace("long-enough", "x"),
      /x\.yaml:7: peers.secret/,
    ],
    ["no role", GOOD.slice(12), /x\.yaml:1: role/],
  ];
  for (const [name, text, expected] of BAD) {
    it(`refuses ${name}, with file and line`, () => {
      const check = () => parseCheckedYaml("x.yaml", text, settingsSchema);
      expect(check).to.throw(expected);
    });
  }

  it("are refused by the daemon before it starts, in one line", () => {
    const file = path.join(mkdtempSync(path.join(tmpdir(), "sg-")), "s.yaml");
    writeFileSync(file, `${GOOD}colour: red\n`);
    const main = path.join(DIST, "src/daemon/main.js");
    const args = [main, "--check", "--settings", file];
    const { status, stderr } = spawnSync(process.execPath, args, {
      encoding: "utf8",
    });
    expect(status).to.equal(2);
    expect(stderr.trim().split("\n")).to.have.length(1);
    expect(stderr).to.match(/s\.yaml:8: .*unknown key "colour"/);
  });

  it("are documented whole in docs/SETTINGS.md", () => {
    const main = path.join(DIST, "src/daemon/main.js");
    const { stdout } = spawnSync(process.execPath, [main, "--reference"], {
      encoding: "utf8",
    });
    const docs = readFileSync(path.join(ROOT, "docs/SETTINGS.md"), "utf8");
    expect(docs).to.include(stdout);
  });
});

describe("examples", () => {
  for (const name of ["catalogue", "kilima"]) {
    it(`${name} is a valid deployment of 8 and 3`, () => {
      const file = path.join(EXAMPLES, name, "config.yaml");
      const text = readFileSync(file, "utf8");
      const config = parseCheckedYaml(file, text, configSchema);
      const counts = config.services.map((item) => item.upstreams.length);
      expect(counts).to.deep.equal([8, 3]);
      for (const role of ["entry", "side"]) {
        const settings = loadSettings(
          path.join(EXAMPLES, name, `${role}.yaml`),
        );
        expect(settings.role).to.equal(role);
      }
    });
  }
});

describe("query language", () => {
  it("reads conditions and options", () => {
    const statement = parseStatement(
      'show engines where site = bilbao and state != "draining"',
    );
    const rows = [
      { site: "bilbao", state: "open" },
      { site: "bilbao", state: "draining" },
      { site: "oviedo", state: "open" },
    ];
    const kept = filterRows(rows, ["site", "state"], statement);
    expect(kept).to.deep.equal([rows[0]]);
  });

  const BAD: [string, number][] = [
    ["show engines where", 18],
    ["show engines where site bilbao", 24],
    ["show engines where site = ", 26],
    ["(", 0],
  ];
  for (const [text, at] of BAD) {
    it(`points at the fault in "${text}"`, () => {
      try {
        parseStatement(text);
        expect.fail("it was read");
      } catch (err) {
        expect(err).to.be.instanceOf(StatementError);
        expect((err as StatementError).at).to.equal(at);
      }
    });
  }
});

describe("a caller's headers", () => {
  const config = configSchema.parse({
    fleet: { name: "f", sites: [] },
    services: [{ ...MODEL_SERVICE, upstreams: [] }],
  });
  const plan = (headers: Record<string, string>, body: object = {}) =>
    planRequest(config, {
      method: "POST",
      path: "/v1/chat/completions",
      headers,
      body: Buffer.from(
        JSON.stringify({ model: "parts-8b", messages: [], ...body }),
      ),
    });

  it("tighten a deadline and never loosen it", () => {
    const budget = (asked: string) => {
      const result = plan({ "x-snowgate-deadline-ms": asked });
      return result.kind === "plan" ? result.plan.budgetMs : undefined;
    };
    expect(budget("100")).to.equal(100);
    expect(budget("900000")).to.equal(30_000);
    expect(budget("soon")).to.equal(undefined);
  });

  const BAD: [string, object, object, number][] = [
    ["an unknown model", {}, { model: "none" }, 404],
    ["an unknown class", { "x-snowgate-class": "none" }, {}, 400],
    ["a long workspace", { "x-snowgate-workspace": "w".repeat(99) }, {}, 400],
    ["a count that is none", {}, { max_tokens: -1 }, 400],
  ];
  for (const [name, headers, body, status] of BAD) {
    it(`${name} is refused, not run`, () => {
      const result = plan(headers as Record<string, string>, body);
      expect(result.kind).to.equal("failure");
      if (result.kind !== "failure") return;
      expect(result.failure.status).to.equal(status);
      expect(result.failure.verdict).to.equal("not-run");
    });
  }
});

describe("command line", () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start({
      entries: 1,
      services: [MODEL_SERVICE],
      upstreams: [engineSpec("parts-1"), engineSpec("parts-2")],
      entry: { limits: { maxBodyBytes: 2000 } },
    });
  });

  after(stopAll);

  const run = (args: string[], token = OPERATOR_TOKEN, entry?: string) => {
    const main = path.join(DIST, "src/cli/main.js");
    const address = entry ?? fleet.entries[0]?.at.operators ?? "";
    const { status, stdout, stderr } = spawnSync(
      process.execPath,
      [main, "--entry", address, "--token", token, ...args],
      { encoding: "utf8" },
    );
    return { status, stdout, stderr: stderr.trim() };
  };

  it("shows a table, and JSON for programs", () => {
    const shown = run(["show engines where upstream = parts-1"]);
    expect(shown.status).to.equal(0);
    expect(shown.stdout).to.include("parts-1").and.to.include("1 row");
    const json = run(["--json", "show", "services"]);
    expect(JSON.parse(json.stdout).rows[0].service).to.equal("parts-model");
  });

  it("drains, watches until it is done, and undrains", async () => {
    expect(run(["drain", "parts-1"]).status).to.equal(0);
    expect(run(["watch", "parts-1"]).stdout).to.match(/1 drain done/);
    await until(async () => {
      const rows = await fleet.rows("show engines where state = draining");
      return rows.length === 1;
    });
    expect(run(["undrain", "parts-1"]).status).to.equal(0);
    expect(run(["watch", "parts-1"]).stdout).to.match(/2 undrain done/);
  });

  it("loads a model, explains a route and the roles", async () => {
    expect(
      run(["load", "model", "parts-8b@2", "on", "parts-2"]).status,
    ).to.equal(0);
    expect(run(["watch", "parts-2"]).stdout).to.match(/load-model .*done/);
    const route = run(["explain", "route", "parts-model", "class", "lookup"]);
    expect(route.stdout).to.include("expected_ms");
    await until(() => run(["explain roles parts-model"]).stdout !== "");
  });

  const BAD: [string, string[], number, RegExp][] = [
    ["a syntax error", ["show engines wher site = x"], 2, /\^ /],
    ["an unknown engine", ["drain", "parts-9"], 2, /no engine "parts-9"/],
    ["an unknown command", ["fly", "parts-1"], 2, /no command "fly"/],
    ["an unknown column", ["show engines where hue = 1"], 2, /no column "hue"/],
    ["a missing file", ["apply", "/nowhere.yaml"], 2, /can't be read/],
  ];
  for (const [name, args, status, expected] of BAD) {
    it(`${name}: one clear message and a code`, () => {
      const result = run(args);
      expect(result.status).to.equal(status);
      expect(result.stderr).to.match(expected);
    });
  }

  it("a bad token: one clear line and its own code", () => {
    const result = run(["show", "engines"], "wrong-token");
    expect([result.status, result.stderr]).to.deep.equal([
      4,
      "the operator token is wrong",
    ]);
  });

  it("a closed port: one clear line and its own code", () => {
    const result = run(["show", "engines"], OPERATOR_TOKEN, "127.0.0.1:1");
    expect(result.status).to.equal(3);
    expect(result.stderr).to.match(/^snowgate: .*ECONNREFUSED/);
  });

  it("a body over the limit is refused, not run", async () => {
    const url = `${fleet.entryUrl()}/v1/chat/completions`;
    const told = await post(url, { model: "parts-8b", pad: "x".repeat(5000) });
    expect([told.status, told.verdict]).to.deep.equal([413, "not-run"]);
  });

  it("a caller can't pass for an entry", async () => {
    const url = `http://${fleet.part("parts-1").side.at.data}/v1/completions`;
    const told = await post(url, {}, { "x-snowgate-auth": `${SECRET}x` });
    expect([told.status, told.verdict]).to.deep.equal([401, "not-run"]);
  });
});
