/** State of a gateway: routes, replicas, event streams, retry budgets, log lines. */
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
import { STABLE, unstableSince } from "../support/stability.js";

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
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
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

  it("matches no route of another host", () => {
    expect(table.match("other.example", "/a/x")).to.equal(undefined);
  });

  it("draws services by weight, and never one of weight 0", () => {
    const split = route("split", "/", [90, 0, 10]);
    const draw = (fraction: number) =>
      drawService(split, { id: "a" }, () => fraction);
    expect(draw(0.89)).to.equal("s0");
    expect(draw(0.9)).to.equal("s2");
    expect(draw(0.999)).to.equal("s2");
  });

  describe("that are split, for streams that can be taken up,", () => {
    const split = { ...route("split", "/", [1, 1]), isResumable: true };
    const IDS = Array.from({ length: 400 }, (_, at) => `stream-${at}`);
    const drawnBy = (
      rng: () => number,
      requestOf: (id: string) => Parameters<typeof drawService>[1],
    ) => IDS.map((id) => drawService(split, requestOf(id), rng));

    it("draw one service over all tries of a caller, at every entry", () => {
      const first = drawnBy(
        () => 0,
        (id) => ({ id }),
      );
      const later = drawnBy(
        () => 0.99,
        (streamId) => ({ id: "try", resumption: { streamId } }),
      );
      expect(later).to.eql(first);
    });

    it("draw services by weight", () => {
      const drawn = drawnBy(
        () => 0,
        (id) => ({ id }),
      );
      const share = drawn.filter((name) => name === "s0").length / IDS.length;
      expect(share).to.be.within(0.4, 0.6);
    });
  });
});

/** A packet that is lost is sent again after this, ms. */
const LOST_PACKET_MS = 200;

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

  it("exclude replicas that drain or disappear from the list", () => {
    const set = new ReplicaSet();
    for (const id of ["a", "b", "c"]) set.put(replica(id));
    set.put(replica("a", { state: "draining" }));
    set.remove("b", 0, STABLE);
    expect(ids(set, 0)).to.deep.equal(["c"]);
  });

  it("keep one that disappears while the store is unavailable for a grace period", () => {
    const set = new ReplicaSet();
    set.put(replica("a"));
    set.remove("a", 0, unstableSince(0));
    expect(ids(set, VANISHED_GRACE_MS - 1)).to.deep.equal(["a"]);
    expect(ids(set, VANISHED_GRACE_MS)).to.deep.equal([]);
    expect(set.removeExpired(VANISHED_GRACE_MS)).to.have.length(1);
  });

  describe("whose entry vanished from an unstable store", () => {
    const REMOVED_AT = 1000;
    const HEARD_AT = 1900;

    for (const drainMs of [1000, 2000, 3000, 20_000]) {
      it(`get no request later than the drain time of ${drainMs} ms after the store's removal`, () => {
        const set = new ReplicaSet({ drainMs });
        set.put(replica("a"));
        set.remove("a", HEARD_AT, unstableSince(REMOVED_AT));
        // The set is not swept: what is sent is checked by itself.
        const refusal = (now: number) => set.signals.refusalAtSend("a", now);
        const lastAt = REMOVED_AT + drainMs - LOST_PACKET_MS;
        expect(ids(set, lastAt)).to.deep.equal([]);
        expect(refusal(lastAt)).to.be.a("string");
        const isUsed = drainMs >= 2000;
        expect(ids(set, HEARD_AT)).to.deep.equal(isUsed ? ["a"] : []);
        expect(refusal(HEARD_AT) === undefined).to.equal(isUsed);
      });
    }
  });

  it("keep one that reappears within the grace period", () => {
    const set = new ReplicaSet();
    set.put(replica("a"));
    set.replace([], 0, unstableSince(0));
    set.put(replica("a"));
    expect(ids(set, VANISHED_GRACE_MS * 2)).to.deep.equal(["a"]);
  });

  it("drop a draining one that disappears, without a grace period", () => {
    const set = new ReplicaSet();
    set.put(replica("a", { state: "draining" }));
    set.remove("a", 0, unstableSince(0));
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

    it("use only the newest, as the other one has crashed", () => {
      expect(ids(pair(), 0)).to.deep.equal(["after"]);
    });

    it("use the other one while the newest is not found there", () => {
      const set = pair();
      set.markMisdirected("after", 0);
      expect(ids(set, 1)).to.deep.equal(["before"]);
      const until = set.usableUntil(1);
      expect(ids(set, until)).to.deep.equal(["after"]);
    });

    it("use a single one even if another replica answered there", () => {
      const set = new ReplicaSet();
      set.put(replica("a"));
      set.markMisdirected("a", 0);
      expect(ids(set, 1)).to.deep.equal(["a"]);
    });
  });

  describe("that restarted under the same name", () => {
    const incarnation = (
      startedAt: number | undefined,
      more: Partial<Replica> = {},
    ) =>
      replica(startedAt === undefined ? "a" : `a@${startedAt}`, {
        name: "a",
        address: "a:1",
        startedAt,
        ...more,
      });
    const kinds = (changes: readonly { kind: string; replica: Replica }[]) =>
      changes.map(({ kind, replica: { id } }) => `${kind} ${id}`);

    it("replace their previous incarnation, even if its entry never expired", () => {
      const set = new ReplicaSet();
      set.put(incarnation(10), 1);
      set.markMisdirected("a@10", 0);
      expect(kinds(set.put(incarnation(20), 2))).to.eql([
        "gone a@10",
        "added a@20",
      ]);
      expect(set.get("a@10")).to.equal(undefined);
      // The misdirected response of the previous incarnation does not count for this one.
      expect(ids(set, 1)).to.eql(["a@20"]);
    });

    it("replace it also if only a full list shows the restart, with the store unavailable", () => {
      const set = new ReplicaSet();
      set.put(incarnation(10), 1);
      const listed = [{ replica: incarnation(20), revision: 2 }];
      const changes = set.replace(listed, 0, unstableSince(0));
      expect(kinds(changes)).to.eql(["gone a@10", "added a@20"]);
    });

    it("are not replaced by late updates of the previous incarnation", () => {
      const set = new ReplicaSet();
      set.put(incarnation(20), 5);
      expect(set.put(incarnation(10), 6)).to.eql([]);
      expect(set.put(incarnation(20, { state: "draining" }), 4)).to.eql([]);
      expect(ids(set, 0)).to.eql(["a@20"]);
    });

    it("are removed with their entry", () => {
      const set = new ReplicaSet();
      set.put(incarnation(10), 1);
      set.put(incarnation(20), 2);
      expect(set.remove("a", 0, STABLE)?.replica.id).to.equal("a@20");
      expect(set.size).to.equal(0);
    });

    it("keep their incarnation if an entry does not give its start time", () => {
      const set = new ReplicaSet();
      set.put(incarnation(10), 1);
      const changes = set.put(incarnation(undefined, { state: "draining" }), 2);
      expect(kinds(changes)).to.eql(["changed a@10"]);
      expect(ids(set, 0)).to.eql([]);
    });
  });

  describe("next to entries of services that are not configured", () => {
    it("keep their address if the other service is not configured", () => {
      const set = new ReplicaSet();
      set.setServices(["plain"]);
      set.put(replica("a", { address: "x:1" }), 1);
      set.put(replica("b", { address: "x:1", service: "odd" }), 2);
      expect(ids(set, 0)).to.eql(["a"]);
    });

    it("lose their address to a configured service listed there later", () => {
      const set = new ReplicaSet();
      set.setServices(["plain", "other"]);
      set.put(replica("a", { address: "x:1" }), 1);
      set.put(replica("b", { address: "x:1", service: "other" }), 2);
      expect(ids(set, 0)).to.eql([]);
    });
  });

  it("do not extend the grace period with a second list while the store is unavailable", () => {
    const set = new ReplicaSet();
    set.put(replica("a"));
    set.replace([], 0, unstableSince(0));
    set.replace(
      [],
      VANISHED_GRACE_MS - 1,
      unstableSince(VANISHED_GRACE_MS - 1),
    );
    expect(ids(set, VANISHED_GRACE_MS)).to.deep.equal([]);
  });
});

describe("event streams", () => {
  const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  it("pass only complete events, wherever the stream is split", () => {
    for (let cut = 0; cut <= whole.length; cut += 1) {
      const splitter = new EventSplitter();
      const first = splitter.push(Buffer.from(whole.slice(0, cut)));
      const second = splitter.push(Buffer.from(whole.slice(cut)));
      expect(`${first.bytes}${second.bytes}`).to.equal(whole);
      expect(first.bytes.toString()).to.match(/^(id: \d\ndata: \w\n\n)*$/);
      expect(second.lastId ?? first.lastId).to.equal("2");
    }
  });

  it("hold back an incomplete event", () => {
    const splitter = new EventSplitter();
    const { bytes } = splitter.push(Buffer.from(`${whole}id: 3\ndata:`));
    expect(bytes.toString()).to.equal(whole);
    expect(splitter.pendingBytes).to.equal(11);
  });

  it("accept CRLF line ends", () => {
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
      { entries: () => undefined, isFirstStart: true },
      () => 0,
    );

  it("allow no more retries than the ratio over many requests", () => {
    const budgets = newBudgets(64);
    let retries = 0;
    for (let at = 0; at < 1000; at += 1) {
      budgets.recordRequest("s");
      if (budgets.acquire("s") !== undefined) retries += 1;
    }
    expect(retries).to.be.at.most(1000 * 0.2);
    expect(retries).to.be.greaterThan(1000 * 0.1);
  });

  it("start with a share of the fleet's burst", () => {
    const budgets = newBudgets(64);
    const allowed = [1, 2, 3].map(() => budgets.acquire("s") !== undefined);
    expect(allowed).to.deep.equal([true, true, false]);
  });

  it("are separate per service", () => {
    const budgets = newBudgets(32);
    expect(budgets.acquire("a")).to.not.equal(undefined);
    expect(budgets.acquire("b")).to.not.equal(undefined);
  });
});

describe("log", () => {
  it("omits lines of one kind beyond the budget and counts them", () => {
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

  it("does not block on a reader that has stopped", () => {
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
    const noop = () => undefined;
    const state = new GatewayState(
      {
        configKind: "config",
        configName: "main",
        replicaKind: KIND,
        decodeConfig: (value) => value as GatewayConfig,
        decodeReplica: (name, value) =>
          ({ id: name, name, ...(value as object) }) as Replica,
      },
      { info: noop, warn: noop, error: noop, debug: noop },
      () => clock.now,
      () => clock.now,
      noop,
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
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
      workspaces: undefined,
    };
    state.onConfigItem({ name: "main", revision: 1, value }, "list");
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

  it("take the status of a revision that another process sent before", () => {
    const { state, value } = newState();
    const seen: unknown[] = [];
    state.onStatus = (status) => seen.push(status);
    state.onConfigNews({ revision: 5, ageMs: 1, value }, 0);
    expect(state.storedConfig?.status).to.equal(undefined);
    const status = { of: "the store" };
    state.onConfigItem({ name: "main", revision: 5, value, status }, "list");
    expect(seen).to.eql([status]);
    expect(state.storedConfig?.status).to.equal(status);
    state.onConfigItem(
      { name: "main", revision: 4, value, status: {} },
      "list",
    );
    expect(seen).to.eql([status]);
  });

  it("return the same list until something changes", () => {
    const { state } = newState();
    state.onReplicaChange(listed("a", "decode"), STABLE);
    const before = state.engines("model");
    expect(state.engines("model")).to.equal(before);
    state.onReplicaChange(listed("a", "prefill"), STABLE);
    expect(ids(state)).to.eql(["a prefill"]);
    state.onReplicaChange(listed("b", "decode"), STABLE);
    expect(ids(state)).to.eql(["a prefill", "b decode"]);
  });

  it("drop one that disappeared once its grace period is over", () => {
    const { state, clock } = newState();
    state.onReplicaChange(listed("a", "decode"), STABLE);
    expect(ids(state)).to.have.length(1);
    state.onReplicaChange(
      { ...listed("a", "decode"), isRemoved: true },
      unstableSince(0),
    );
    clock.now = VANISHED_GRACE_MS - 1;
    expect(ids(state)).to.have.length(1);
    clock.now = VANISHED_GRACE_MS;
    expect(ids(state)).to.have.length(0);
  });
});
