import { expect } from "chai";
import fc from "fast-check";

import { StoredClaims } from "../src/claims/index.js";
import { Admission } from "../src/admission/index.js";
import type { Arrival } from "../src/admission/index.js";
import {
  applyClaimEvent,
  evaluateClaim,
  EMPTY_CLAIMS,
} from "../src/claims/claimTable.js";
import {
  adoptSnapshot,
  configSchema,
  toSnapshot,
} from "../src/config/index.js";
import type { ConfigState, Service } from "../src/config/index.js";
import { Membership } from "../src/membership/index.js";
import type { Member } from "../src/membership/index.js";
import { decideRetry, newRetryBudget } from "../src/retry/index.js";
import { planRole } from "../src/roles/index.js";
import type { EngineReport } from "../src/roles/index.js";
import { createPolicy, prefixChain, Router } from "../src/routing/index.js";
import type { RouteRequest } from "../src/routing/index.js";
import { moveShare } from "../src/operator/shares.js";
import { seededRng } from "../src/shared/rng.js";
import { StatsdMetrics } from "../src/telemetry/index.js";
import { VERDICTS } from "../src/shared/verdict.js";
import { MemoryStore } from "./support/memoryStore.js";
import { MODEL_SERVICE } from "./support/specs.js";

/** Without a size, generated lists are about ten long: too short to fail. */
const LONG = { minLength: 20, maxLength: 100, size: "max" } as const;
const SEEDED = { seed: 11, numRuns: 300 };

const service = (engines: number, more: object = {}): Service => {
  const upstreams = Array.from({ length: engines }, (_item, at) => ({
    id: `e${at}`,
    vm: `vm${at}`,
    site: at % 2 === 0 ? "bilbao" : "oviedo",
    dataAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:2",
  }));
  const sites = ["bilbao", "oviedo"].map((name) => ({
    name,
    region: "norte",
    domain: name,
  }));
  const config = configSchema.parse({
    fleet: { name: "f", sites },
    services: [{ ...MODEL_SERVICE, upstreams, ...more }],
  });
  return config.services[0] as Service;
};

describe("claims", () => {
  it("let one request run a key, in any order of events", () => {
    const event = fc.record({
      who: fc.nat({ max: 3 }),
      kind: fc.constantFrom("begin", "finish", "release"),
    });
    fc.assert(
      fc.property(fc.array(event, LONG), (events) => {
        let table = EMPTY_CLAIMS;
        const running = new Set<number>();
        let ran = 0;
        for (const { who, kind } of events) {
          const requestId = `r${who}`;
          const request = { service: "s", key: "k", print: "p", requestId };
          if (kind === "begin") {
            const answer = evaluateClaim(table, request);
            table = applyClaimEvent(table, { kind, request }, 0);
            if (answer.kind !== "run") continue;
            running.add(who);
            expect(running.size).to.equal(1);
            expect(ran, "after it ran, nobody runs it").to.equal(0);
          } else if (running.has(who)) {
            // Only a request that may run can finish or give its key back.
            running.delete(who);
            if (kind === "finish") ran += 1;
            const answer = { status: 200, contentType: "t", body: "b" };
            table = applyClaimEvent(table, { kind, request, answer }, 0);
          }
        }
        expect(ran).to.be.at.most(1);
      }),
      SEEDED,
    );
  });
});

describe("stored claims", () => {
  it("let one of two equal keys run, also when they share a write", async () => {
    const claims = new StoredClaims(new MemoryStore(), () => 0);
    const begin = (key: string, requestId: string) =>
      claims.begin({ service: "s", key, print: "p", requestId });
    const keys = Array.from({ length: 100 }, (_item, at) => `key-${at}`);
    const answers = await Promise.all(
      keys.flatMap((key) => [begin(key, `${key}/a`), begin(key, `${key}/b`)]),
    );
    const runs = answers.filter((answer) => answer.kind === "run");
    expect(runs).to.have.length(keys.length);
  });
});

describe("configuration", () => {
  it("never goes back, whatever order snapshots come in", () => {
    const config = configSchema.parse({
      fleet: {
        name: "f",
        sites: [{ name: "bilbao", region: "r", domain: "d" }],
      },
      services: [{ ...MODEL_SERVICE, upstreams: [] }],
    });
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 50 }), LONG),
        (numbers) => {
          let state: ConfigState | undefined;
          let highest = 0;
          for (const number of numbers) {
            state = adoptSnapshot(state, toSnapshot(config, number));
            highest = Math.max(highest, number);
            expect(state?.head.number).to.equal(highest);
          }
        },
      ),
      SEEDED,
    );
  });
});

describe("retry", () => {
  for (const verdict of VERDICTS) {
    for (const repeat of ["safe", "never"] as const) {
      it(`${verdict} and ${repeat}`, () => {
        const failure = {
          status: 502,
          code: "cut",
          message: "",
          verdict,
        } as const;
        const answer = decideRetry(
          { failure, repeat, attempts: 1, deadlineAt: 100, now: 0 },
          newRetryBudget(0),
        );
        const isAllowed =
          verdict === "not-run" ||
          (verdict === "may-have-run" && repeat === "safe");
        expect(answer.kind).to.equal(isAllowed ? "again" : "give-up");
      });
    }
  }

  it("stops when the budget of the service is used up", () => {
    let bucket = newRetryBudget(0);
    let again = 0;
    const failure = {
      status: 503,
      code: "overloaded",
      message: "",
      verdict: "not-run",
    } as const;
    for (let request = 0; request < 1000; request += 1) {
      const answer = decideRetry(
        { failure, repeat: "safe", attempts: 1, deadlineAt: 10, now: 0 },
        bucket,
      );
      bucket = answer.bucket;
      if (answer.kind === "again") again += 1;
    }
    expect(again).to.equal(50);
  });
});

describe("admission", () => {
  const limits = {
    capacity: {
      prefillTokensPerSecond: 1000,
      decodeTokensPerSecond: 100,
      maxSequences: 4,
      cacheTokens: 0,
    },
    maxQueued: 100,
    weightOf: () => 1,
  };

  const arrival = (id: string, more: Partial<Arrival> = {}): Arrival => ({
    id,
    workspace: "w",
    urgency: "normal",
    prefillTokens: 10,
    outputTokens: 10,
    deadlineAt: 60_000,
    ...more,
  });

  const fill = (admission: Admission) => {
    for (let at = 0; at < 4; at += 1) admission.arrive(arrival(`f${at}`), 0);
  };

  it("never hands over more than the engine's sequences", () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: 30 }), LONG), (ids) => {
        const admission = new Admission(limits);
        for (const id of ids) {
          if (id % 3 === 0) admission.remove(`r${id}`);
          else admission.arrive(arrival(`r${id}`), 0);
          admission.admitWaiting(0);
          expect(admission.inFlight).to.be.at.most(4);
        }
      }),
      SEEDED,
    );
  });

  it("lets urgent work in first, and old work is not starved", () => {
    const admission = new Admission(limits);
    fill(admission);
    admission.arrive(arrival("ordinary"), 0);
    admission.arrive(arrival("urgent", { urgency: "urgent" }), 10);
    admission.remove("f0");
    expect(admission.admitWaiting(20).admitted).to.deep.equal(["urgent"]);
    for (let at = 0; at < 5; at += 1) {
      admission.arrive(arrival(`u${at}`, { urgency: "urgent" }), 2500);
    }
    admission.remove("f1");
    expect(admission.admitWaiting(2500).admitted).to.deep.equal(["ordinary"]);
  });

  it("shares among workspaces, however many one of them sends", () => {
    const admission = new Admission(limits);
    fill(admission);
    for (let at = 0; at < 20; at += 1) {
      admission.arrive(arrival(`greedy${at}`, { workspace: "greedy" }), 0);
    }
    admission.arrive(arrival("modest", { workspace: "modest" }), 1);
    for (let at = 0; at < 4; at += 1) admission.remove(`f${at}`);
    expect(admission.admitWaiting(2).admitted).to.include("modest");
  });

  it("refuses at once what can't make its deadline, and says when", () => {
    const admission = new Admission(limits);
    admission.arrive(arrival("long", { prefillTokens: 5000 }), 0);
    const answer = admission.arrive(arrival("late", { deadlineAt: 1000 }), 0);
    expect(answer.kind).to.equal("refused");
    if (answer.kind !== "refused") return;
    expect(answer.retryAfterMs).to.be.greaterThan(1000);
  });
});

describe("routing", () => {
  const request = (more: Partial<RouteRequest> = {}): RouteRequest => ({
    service: service(8),
    phase: "whole",
    urgency: "normal",
    promptTokens: 2000,
    outputTokens: 10,
    prefixes: [],
    deadlineAt: 10_000,
    tried: new Set(),
    ...more,
  });

  const newRouter = (seed: number) => {
    const rng = seededRng(seed);
    return new Router(createPolicy("expected-finish", rng), rng);
  };

  it("sends a known prefix where it was sent before", () => {
    const router = newRouter(1);
    const prefixes = prefixChain("m", "manual ".repeat(1000));
    const first = router.choose(request({ prefixes }), 0);
    router.onSent(first?.upstream.id ?? "", request({ prefixes }), 0);
    for (let at = 1; at < 10; at += 1) {
      const next = router.choose(request({ prefixes }), at * 1000);
      expect(next?.upstream.id).to.equal(first?.upstream.id);
    }
  });

  it("does not herd: entries with the same old news spread out", () => {
    const counts = new Map<string, number>();
    for (let entry = 0; entry < 200; entry += 1) {
      const router = newRouter(entry + 1);
      const id = router.choose(request(), 0)?.upstream.id ?? "";
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(counts.size).to.equal(8);
    expect(Math.max(...counts.values())).to.be.at.most(60);
  });

  it("spreads a plain service's requests, which cost no tokens", () => {
    const router = newRouter(6);
    const plain = request({ promptTokens: 0, outputTokens: 0 });
    const IDLE = {
      prefillTokens: 0,
      active: 0,
      queued: 0,
      role: "mixed",
      state: "open",
      paceMs: 0,
    } as const;
    const counts = new Map<string, number>();
    for (let at = 0; at < 400; at += 1) {
      const id = router.choose(plain, at)?.upstream.id ?? "";
      router.onSent(id, plain, at);
      router.onEnd(id);
      router.onReport(id, IDLE, at);
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(counts.size).to.equal(8);
    expect(Math.max(...counts.values())).to.be.at.most(100);
  });

  it("comes back to an upstream that was full long ago", () => {
    const router = newRouter(7);
    const full = {
      prefillTokens: 0,
      active: 32,
      queued: 50,
      role: "mixed",
      state: "open",
      paceMs: 0,
    } as const;
    router.onReport("e0", full, 0);
    const chosen = (now: number) =>
      Array.from(
        { length: 200 },
        () => router.choose(request(), now)?.upstream.id,
      ).filter((id) => id === "e0").length;
    expect(chosen(10)).to.equal(0);
    expect(chosen(60_000)).to.be.greaterThan(5);
  });

  it("ejects an upstream that fails, and comes back by one probe", () => {
    const router = newRouter(3);
    const others = [2, 3, 4, 5, 6, 7].map((at) => `e${at}`);
    const pair = request({ tried: new Set(others) });
    const chosen = (now: number) => {
      const draws = Array.from({ length: 40 }, () => router.choose(pair, now));
      return new Set(draws.map((choice) => choice?.upstream.id));
    };
    router.onFailure("e0", 0, true);
    expect([...chosen(500)]).to.deep.equal(["e1"]);
    expect(chosen(1100).has("e0")).to.equal(true);
    router.onSent("e0", pair, 1100);
    expect([...chosen(1200)]).to.deep.equal(["e1"]);
    router.onSuccess("e0", 1300);
    router.onEnd("e0");
    // It comes back cold and is warmed up.
    expect(chosen(60_000).has("e0")).to.equal(true);
  });

  it("forgets requests that were lost without an answer", () => {
    const router = newRouter(10);
    const plain = request({ promptTokens: 0, outputTokens: 0 });
    for (let at = 0; at < 5; at += 1) {
      router.onSent("e0", plain, at);
      router.onEnd("e0");
    }
    const draws = Array.from({ length: 200 }, () => router.choose(plain, 10));
    const ids = draws.map((choice) => choice?.upstream.id);
    expect(ids).to.include("e0");
  });

  it("ejects once for many failures of one crash", () => {
    const router = newRouter(9);
    for (let at = 0; at < 20; at += 1) router.onFailure("e0", at, true);
    const others = [2, 3, 4, 5, 6, 7].map((at) => `e${at}`);
    const pair = request({ tried: new Set(others) });
    const draws = Array.from({ length: 40 }, () => router.choose(pair, 1100));
    const ids = draws.map((choice) => choice?.upstream.id);
    expect(ids).to.include("e0");
  });

  it("asks an ejected upstream where there is no other", () => {
    const router = newRouter(8);
    for (const { id } of request().service.upstreams) {
      router.onFailure(id, 0, true);
    }
    expect(router.choose(request(), 10)).to.not.equal(undefined);
    router.onLeaving("e0", 10);
    const others = [1, 2, 3, 4, 5, 6, 7].map((at) => `e${at}`);
    const tried = new Set(others);
    expect(router.choose(request({ tried }), 20)).to.equal(undefined);
  });

  it("keeps to the cutover's shares", () => {
    const router = newRouter(4);
    const shares = { bilbao: 20, oviedo: 80 };
    let moved = 0;
    for (let at = 0; at < 1000; at += 1) {
      const choice = router.choose(
        request({ service: service(8, { shares }) }),
        0,
      );
      if (choice?.upstream.site === "oviedo") moved += 1;
    }
    expect(moved).to.be.within(750, 850);
  });
});

describe("cutover", () => {
  it("moves one share and keeps the others' proportions", () => {
    const shares = moveShare({ a: 50, b: 30, c: 20 }, "a", 0);
    expect(shares.a).to.equal(0);
    expect(shares.b).to.be.closeTo(60, 1e-9);
    expect(shares.c).to.be.closeTo(40, 1e-9);
  });
});

describe("roles", () => {
  const engines = (prefill: number, decode: number): EngineReport[] =>
    Array.from({ length: 8 }, (_item, at) => ({
      upstream: `e${at}`,
      role: "mixed",
      isAvailable: true,
      prefillPerSecond: prefill,
      decodePerSecond: decode,
      ageMs: 100,
    }));

  const ask = (more: object = {}) => ({
    service: service(8),
    engines: engines(10_000, 100),
    sinceChangeMs: Infinity,
    roleChangeMs: 5000,
    ...more,
  });

  const cheap = (changeCost: number) => service(8, { roles: { changeCost } });

  it("changes one engine where the gain beats the cost", () => {
    const plan = planRole(ask({ service: cheap(0.01) }));
    expect(plan.kind).to.equal("change");
    if (plan.kind === "change") expect(plan.role).to.equal("prefill");
  });

  const KEPT: [string, object][] = [
    ["a change is dear", { service: cheap(0.9) }],
    ["all work is served as it is", { engines: engines(100, 10) }],
    ["the last change is recent", { sinceChangeMs: 1000 }],
    ["an engine is silent", { engines: engines(10_000, 100).slice(1) }],
    [
      "news is stale",
      { engines: engines(10_000, 100).map((e) => ({ ...e, ageMs: 60_000 })) },
    ],
    [
      "an engine is away",
      {
        engines: engines(10_000, 100).map((e) => ({
          ...e,
          isAvailable: false,
        })),
      },
    ],
  ];
  for (const [why, more] of KEPT) {
    it(`keeps them where ${why}`, () => {
      const plan = planRole(ask({ service: cheap(0.01), ...more }));
      expect(plan.kind).to.equal("keep");
      expect(plan.why).to.not.equal("");
    });
  }
});

describe("membership", () => {
  const member = (id: string, incarnation = 1): Member => ({
    id,
    kind: "side",
    state: "alive",
    incarnation,
    peerAddress: "127.0.0.1:1",
    domain: "d",
    role: "",
  });

  it("spreads news to all in a few rounds", () => {
    const rng = seededRng(5);
    const all = Array.from(
      { length: 60 },
      (_item, at) => new Membership(member(`m${at}`)),
    );
    for (const one of all)
      one.merge(
        all.map((item) => item.self),
        0,
      );
    all[0]?.announce("leaving");
    let rounds = 0;
    const knows = (one: Membership) => one.get("m0")?.state === "leaving";
    while (!all.every(knows)) {
      rounds += 1;
      for (const one of all) {
        for (const peer of one.pickPeers(2, rng)) {
          const other = all.find((item) => item.self.id === peer.id);
          other?.merge(one.takeRumours(), rounds);
          one.merge(other?.takeRumours() ?? [], rounds);
        }
      }
      expect(rounds).to.be.at.most(12);
    }
  });

  it("suspects a silent member before it counts it as gone", () => {
    const one = new Membership(member("a"));
    one.merge([member("b")], 0);
    one.markSuspect("b", 0);
    expect(one.get("b")?.state).to.equal("suspect");
    one.tick(1000);
    expect(one.get("b")?.state).to.equal("suspect");
    one.tick(6000);
    expect(one.get("b")?.state).to.equal("gone");
  });

  it("refutes a false suspicion of itself", () => {
    const one = new Membership(member("a"));
    one.merge([{ ...member("a"), state: "suspect" }], 0);
    expect(one.self.state).to.equal("alive");
    expect(one.self.incarnation).to.equal(2);
  });
});

describe("metrics", () => {
  it("name the busiest workspaces, bounded, and lose no request", () => {
    const metrics = new StatsdMetrics(undefined);
    for (let at = 0; at < 2000; at += 1) {
      metrics.latency("c", `quiet-${at % 500}`, 5);
    }
    for (let at = 0; at < 1000; at += 1) metrics.latency("c", "busy", 5);
    const rows = metrics.latencyRows();
    const workspaces = rows.filter((row) => row.name.startsWith("workspace"));
    const names = workspaces.map((row) => row.name);
    expect(names).to.include("workspace busy");
    expect(workspaces.length).to.be.at.most(65);
    const sum = workspaces.reduce((total, row) => total + row.count, 0);
    expect(sum).to.equal(3000);
  });
});
