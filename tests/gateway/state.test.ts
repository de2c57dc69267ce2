/** What a gateway believes: routes, replicas, events, budgets, log lines. */
import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { constants, mkdtempSync, openSync } from "node:fs";
import os from "node:os";
import path from "node:path";

import { EventSplitter } from "../../src/gateway/eventSplitter.js";
import { ReplicaSet, VANISHED_GRACE_MS } from "../../src/gateway/replicaSet.js";
import { RetryBudgets } from "../../src/gateway/retryBudgets.js";
import { drawService, RouteTable } from "../../src/gateway/routeTable.js";
import { GatewayState } from "../../src/gateway/gatewayState.js";
import type { GatewayConfig, Replica, Route } from "../../src/gateway/index.js";
import { LogRateLimiter } from "../../src/telemetry/logRateLimiter.js";
import { LineWriter } from "../../src/telemetry/lineWriter.js";

const route = (name: string, pathPrefix: string, weights = [1]): Route => ({
  name,
  host: "parts.example",
  pathPrefix,
  kind: "safe",
  timeoutMs: 1000,
  objectiveMs: 100,
  priority: 0,
  maxAttempts: 1,
  isResumable: false,
  isPublic: false,
  maxEventGapMs: Infinity,
  targets: weights.map((weight, at) => ({ service: `s${at}`, weight })),
});

describe("routes", () => {
  const table = new RouteTable({
    version: 3,
    routes: [route("short", "/a/"), route("long", "/a/b/")],
    services: [],
    limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: undefined,
  });

  const cases = [
    { target: "/a/x", name: "short" },
    { target: "/a/b/x?q=/c/", name: "long" },
    { target: "/a/bx", name: "short" },
    { target: "/b/a/", name: undefined },
    { target: "/a", name: undefined },
  ];
  for (const { target, name } of cases) {
    it(`${target}: ${name ?? "none"}`, () => {
      expect(table.match("parts.example", target)?.name).to.equal(name);
    });
  }

  it("knows no route of another host", () => {
    expect(table.match("other.example", "/a/x")).to.equal(undefined);
  });

  it("draws services by weight, and none of weight 0", () => {
    const split = route("split", "/", [90, 0, 10]);
    expect(drawService(split, () => 0.89)).to.equal("s0");
    expect(drawService(split, () => 0.9)).to.equal("s2");
    expect(drawService(split, () => 0.999)).to.equal("s2");
  });
});

describe("replicas", () => {
  const replica = (id: string, more: Partial<Replica> = {}): Replica => ({
    id,
    name: id,
    startedAt: undefined,
    service: "plain",
    address: `${id}:1`,
    domain: "domain-1",
    slots: 1,
    state: "ready",
    stage: undefined,
    ...more,
  });
  const ids = (set: ReplicaSet, now: number) =>
    set.usable("plain", now).map((item) => item.id);

  it("a replica that drains or vanishes gets nothing more", () => {
    const set = new ReplicaSet();
    for (const id of ["a", "b", "c"]) set.put(replica(id));
    set.put(replica("a", { state: "draining" }));
    set.remove("b", 0, false);
    expect(ids(set, 0)).to.deep.equal(["c"]);
  });

  it("one that vanishes in trouble is kept for a while", () => {
    const set = new ReplicaSet();
    set.put(replica("a"));
    set.remove("a", 0, true);
    expect(ids(set, VANISHED_GRACE_MS - 1)).to.deep.equal(["a"]);
    expect(ids(set, VANISHED_GRACE_MS)).to.deep.equal([]);
    expect(set.removeExpired(VANISHED_GRACE_MS)).to.have.length(1);
  });

  it("one that comes back is no longer given up", () => {
    const set = new ReplicaSet();
    set.put(replica("a"));
    set.replace([], 0, true);
    set.put(replica("a"));
    expect(ids(set, VANISHED_GRACE_MS * 2)).to.deep.equal(["a"]);
  });

  it("a draining one that vanishes in trouble is gone", () => {
    const set = new ReplicaSet();
    set.put(replica("a", { state: "draining" }));
    set.remove("a", 0, true);
    expect(set.size).to.equal(0);
  });

  describe("listed at one address", () => {
    const pair = () => {
      const set = new ReplicaSet();
      const address = "10.0.0.1:1";
      set.put(replica("after", { address }), 20);
      set.put(replica("before", { address }), 10);
      return set;
    };

    it("only the newest gets work: the other has crashed", () => {
      expect(ids(pair(), 0)).to.deep.equal(["after"]);
    });

    it("the other gets it where the newest is not there", () => {
      const set = pair();
      set.markMisdirected("after", 0);
      expect(ids(set, 1)).to.deep.equal(["before"]);
      const until = set.usableUntil(1);
      expect(ids(set, until)).to.deep.equal(["after"]);
    });

    it("one alone is used though another answered there", () => {
      const set = new ReplicaSet();
      set.put(replica("a"));
      set.markMisdirected("a", 0);
      expect(ids(set, 1)).to.deep.equal(["a"]);
    });
  });

  describe("that started again under their name", () => {
    const life = (startedAt: number | undefined, more: Partial<Replica> = {}) =>
      replica(startedAt === undefined ? "a" : `a@${startedAt}`, {
        name: "a",
        address: "a:1",
        startedAt,
        ...more,
      });
    const kinds = (changes: readonly { kind: string; replica: Replica }[]) =>
      changes.map(({ kind, replica: { id } }) => `${kind} ${id}`);

    it("end their former life, though its entry never lapsed", () => {
      const set = new ReplicaSet();
      set.put(life(10), 1);
      set.markMisdirected("a@10", 0);
      expect(kinds(set.put(life(20), 2))).to.eql(["gone a@10", "added a@20"]);
      expect(set.get("a@10")).to.equal(undefined);
      // What was held against the former life is not held against this one.
      expect(ids(set, 1)).to.eql(["a@20"]);
    });

    it("end it also where only the whole list shows it, in trouble too", () => {
      const set = new ReplicaSet();
      set.put(life(10), 1);
      const listed = [{ replica: life(20), revision: 2 }];
      const changes = set.replace(listed, 0, true);
      expect(kinds(changes)).to.eql(["gone a@10", "added a@20"]);
    });

    it("are not turned back by late words of it", () => {
      const set = new ReplicaSet();
      set.put(life(20), 5);
      expect(set.put(life(10), 6)).to.eql([]);
      expect(set.put(life(20, { state: "draining" }), 4)).to.eql([]);
      expect(ids(set, 0)).to.eql(["a@20"]);
    });

    it("leave the list with their entry", () => {
      const set = new ReplicaSet();
      set.put(life(10), 1);
      set.put(life(20), 2);
      expect(set.remove("a", 0, false)?.replica.id).to.equal("a@20");
      expect(set.size).to.equal(0);
    });

    it("go on as they are where an entry does not say", () => {
      const set = new ReplicaSet();
      set.put(life(10), 1);
      const changes = set.put(life(undefined, { state: "draining" }), 2);
      expect(kinds(changes)).to.eql(["changed a@10"]);
      expect(ids(set, 0)).to.eql([]);
    });
  });

  describe("beside entries of a service that nobody names", () => {
    it("keep their place at their address", () => {
      const set = new ReplicaSet();
      set.setServices(["plain"]);
      set.put(replica("a", { address: "x:1" }), 1);
      set.put(replica("b", { address: "x:1", service: "odd" }), 2);
      expect(ids(set, 0)).to.eql(["a"]);
    });

    it("lose it to the service that has the address now", () => {
      const set = new ReplicaSet();
      set.setServices(["plain", "other"]);
      set.put(replica("a", { address: "x:1" }), 1);
      set.put(replica("b", { address: "x:1", service: "other" }), 2);
      expect(ids(set, 0)).to.eql([]);
    });
  });

  it("a second list in trouble does not prolong it", () => {
    const set = new ReplicaSet();
    set.put(replica("a"));
    set.replace([], 0, true);
    set.replace([], VANISHED_GRACE_MS - 1, true);
    expect(ids(set, VANISHED_GRACE_MS)).to.deep.equal([]);
  });
});

describe("event streams", () => {
  const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  it("passes events only when they are whole, at any cut", () => {
    for (let cut = 0; cut <= whole.length; cut += 1) {
      const splitter = new EventSplitter();
      const first = splitter.push(Buffer.from(whole.slice(0, cut)));
      const second = splitter.push(Buffer.from(whole.slice(cut)));
      expect(`${first.bytes}${second.bytes}`).to.equal(whole);
      expect(first.bytes.toString()).to.match(/^(id: \d\ndata: \w\n\n)*$/);
      expect(second.lastId ?? first.lastId).to.equal("2");
    }
  });

  it("holds what is left of an event", () => {
    const splitter = new EventSplitter();
    const { bytes } = splitter.push(Buffer.from(`${whole}id: 3\ndata:`));
    expect(bytes.toString()).to.equal(whole);
    expect(splitter.pendingBytes).to.equal(11);
  });

  it("takes line ends of two bytes", () => {
    const splitter = new EventSplitter();
    const { lastId } = splitter.push(Buffer.from("id: 7\r\ndata\r\n\r\nid"));
    expect(lastId).to.equal("7");
    expect(splitter.pendingBytes).to.equal(2);
  });
});

describe("retry budgets", () => {
  const newBudgets = (burst: number) =>
    new RetryBudgets(
      { ratio: 0.2, burst, windowMs: 10_000 },
      () => undefined,
      () => 0,
    );

  it("allow no more than the ratio, over any number of requests", () => {
    const budgets = newBudgets(64);
    let spent = 0;
    for (let at = 0; at < 1000; at += 1) {
      budgets.recordRequest("s");
      if (budgets.tryRetry("s")) spent += 1;
    }
    expect(spent).to.be.at.most(1000 * 0.2);
    expect(spent).to.be.greaterThan(1000 * 0.1);
  });

  it("start with a part of the fleet's stock", () => {
    const budgets = newBudgets(64);
    const taken = [1, 2, 3].map(() => budgets.tryRetry("s"));
    expect(taken).to.deep.equal([true, true, false]);
  });

  it("are kept apart by service", () => {
    const budgets = newBudgets(32);
    expect(budgets.tryRetry("a")).to.equal(true);
    expect(budgets.tryRetry("b")).to.equal(true);
  });
});

describe("log", () => {
  it("leaves lines of one kind out beyond the budget, and counts them", () => {
    const budget = new LogRateLimiter();
    let written = 0;
    for (let at = 0; at < 1000; at += 1) {
      if (budget.take("refused", 0)) written += 1;
    }
    const [omission] = budget.report(0);
    expect(written).to.be.at.most(100);
    expect(omission).to.deep.equal({ kind: "refused", count: 1000 - written });
    expect(budget.take("failed", 0)).to.equal(true);
  });

  it("does not wait for a reader that has stopped", () => {
    const file = path.join(mkdtempSync(path.join(os.tmpdir(), "log-")), "pipe");
    spawnSync("mkfifo", [file]);
    const flags = constants.O_RDWR | constants.O_NONBLOCK;
    const writer = new LineWriter(openSync(file, flags), 1);
    const line = "x".repeat(1000);
    for (let at = 0; at < 2000; at += 1) {
      writer.line(line);
      writer.flush();
    }
    expect(writer.droppedLines).to.be.greaterThan(0);
  });
});

describe("engines of a service", () => {
  const KIND = "replicas";
  const newState = () => {
    const clock = { now: 0 };
    const quiet = () => undefined;
    const state = new GatewayState(
      {
        configKind: "config",
        configName: "main",
        replicaKind: KIND,
        decodeConfig: (value) => value as GatewayConfig,
        decodeReplica: (name, value) =>
          ({ id: name, name, ...(value as object) }) as Replica,
      },
      { info: quiet, warn: quiet, error: quiet, debug: quiet },
      () => clock.now,
      () => clock.now,
      quiet,
    );
    const engine = {
      slots: 4,
      kvCapacityTokens: 1000,
      handleTtlMs: 1,
      stageChangeMs: 1,
    };
    const value: GatewayConfig = {
      version: 1,
      routes: [],
      services: [{ name: "model", maxConnections: 9, engine }],
      limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      workspaces: undefined,
    };
    state.onConfigItem({ name: "main", revision: 1, value });
    return { state, clock, value };
  };
  const listed = (name: string, stage: string) => ({
    item: {
      name,
      revision: 1,
      value: {
        service: "model",
        state: "ready",
        domain: "",
        address: `${name}:1`,
        stage,
      },
    },
    isRemoved: false,
  });
  const ids = (state: GatewayState): string[] =>
    state.engines("model").map(({ id, stage }) => `${id} ${stage}`);

  it("learns the status of a revision that another process told before", () => {
    const { state, value } = newState();
    const seen: unknown[] = [];
    state.onStatus = (status) => seen.push(status);
    state.onConfigNews({ revision: 5, ageMs: 1, value }, 0);
    expect(state.storedConfig?.status).to.equal(undefined);
    const status = { of: "the store" };
    state.onConfigItem({ name: "main", revision: 5, value, status });
    expect(seen).to.eql([status]);
    expect(state.storedConfig?.status).to.equal(status);
    state.onConfigItem({ name: "main", revision: 4, value, status: {} });
    expect(seen).to.eql([status]);
  });

  it("are the same list until something changes", () => {
    const { state } = newState();
    state.onReplicaChange(listed("a", "decode"), false);
    const before = state.engines("model");
    expect(state.engines("model")).to.equal(before);
    state.onReplicaChange(listed("a", "prefill"), false);
    expect(ids(state)).to.eql(["a prefill"]);
    state.onReplicaChange(listed("b", "decode"), false);
    expect(ids(state)).to.eql(["a prefill", "b decode"]);
  });

  it("lack one that vanished as soon as its time is over", () => {
    const { state, clock } = newState();
    state.onReplicaChange(listed("a", "decode"), false);
    expect(ids(state)).to.have.length(1);
    state.onReplicaChange({ ...listed("a", "decode"), isRemoved: true }, true);
    clock.now = VANISHED_GRACE_MS - 1;
    expect(ids(state)).to.have.length(1);
    clock.now = VANISHED_GRACE_MS;
    expect(ids(state)).to.have.length(0);
  });
});
