import { expect } from "chai";
import fc from "fast-check";

import {
  ControlStore,
  isLeaseHeld,
  nextLeaseStep,
  leaseAfterWrite,
  NO_LEASE,
  observeLease,
} from "../../src/control/index.js";
import type { Lease, LeaseState } from "../../src/control/index.js";
import { configSchema } from "../../src/config/index.js";
import type { Service } from "../../src/config/index.js";
import { ControlLoop } from "../../src/entry/controlLoop.js";
import { PeerLink } from "../../src/peers/index.js";
import { OrderExecutor } from "../../src/side/orderExecutor.js";
import { SideGate } from "../../src/side/sideGate.js";
import type {
  EngineOrder,
  EngineState,
  ModelEngine,
} from "../../src/side/engineAdmin.js";
import type { WriteResult } from "../../src/store/index.js";
import { Fleet, SECRET } from "../support/fleet.js";
import { MemoryStore } from "../support/memoryStore.js";
import { stopAll } from "../support/processes.js";
import { engineSpec, MODEL_SERVICE } from "../support/specs.js";
import { until } from "../support/until.js";
import { SILENT_LOG } from "../support/silentLog.js";

/** Without a size, generated lists are about ten long: too short to fail. */
const LONG = { minLength: 20, maxLength: 200, size: "max" } as const;

/** An engine that does at once what it is told, and ignores fences. */
class FakeEngine implements ModelEngine {
  readonly orders: EngineOrder[] = [];

  async state(): Promise<EngineState> {
    const last = this.orders.at(-1);
    return {
      role: last?.action.kind === "role" ? last.action.value : "mixed",
      models: [],
      adapters: [],
      highestFence: 0,
      busyWith: null,
      lastOrder:
        last === undefined
          ? null
          : { orderId: last.orderId, fence: last.fence, outcome: "done" },
    };
  }

  async order(order: EngineOrder) {
    this.orders.push(order);
    return { kind: "started" } as const;
  }
}

/** Does what it is told, and loses answers about the status of upstreams. */
class AnswerLosingStore extends MemoryStore {
  /** How many answers are still to be lost. */
  left = 0;

  override async get<T>(kind: string, name: string) {
    if (this.isLost(kind)) throw new Error("no answer");
    return super.get<T>(kind, name);
  }

  override async put<T>(
    kind: string,
    name: string,
    value: T,
    expected: number,
    writeId: string,
  ): Promise<WriteResult<T>> {
    const result = await super.put(kind, name, value, expected, writeId);
    if (!this.isLost(kind)) return result;
    return { kind: "unknown", why: "no answer" };
  }

  private isLost(kind: string): boolean {
    if (kind !== "status" || this.left === 0) return false;
    this.left -= 1;
    return true;
  }
}

/** Ends a process at its n-th call of the outside, before or after it. */
interface Crash {
  left: number;
  isAfter: boolean;
  isDead: boolean;
}

const NO_CRASH: Crash = { left: Infinity, isAfter: false, isDead: false };

/** Calls of a dead process never come back; the process is abandoned. */
const crashing = <T extends object>(inner: T, crash: Crash): T =>
  new Proxy(inner, {
    get: (target, name) => {
      const value = Reflect.get(target, name) as unknown;
      if (typeof value !== "function") return value;
      return async (...args: unknown[]) => {
        if (crash.isDead) throw new Error("dead");
        crash.left -= 1;
        const isNow = crash.left < 0;
        if (isNow) crash.isDead = true;
        if (isNow && !crash.isAfter) throw new Error("dead");
        const result: unknown = await value.apply(target, args);
        if (isNow) throw new Error("dead");
        return result;
      };
    },
  });

describe("promise 3: orders without authority change nothing", () => {
  describe("lease, under pauses at any point", () => {
    const LEASE_MS = 100;

    /** One process: its view of the lease, and what it has read. */
    interface Process {
      state: LeaseState;
      read: { lease: Lease | null; version: number } | undefined;
    }

    it("never has two holders", () => {
      const event = fc.record({
        who: fc.nat({ max: 2 }),
        kind: fc.constantFrom("read", "write", "write-lost"),
        passed: fc.integer({ min: 0, max: 70 }),
      });
      fc.assert(
        fc.property(fc.array(event, LONG), (events) => {
          let now = 0;
          let stored: { lease: Lease | null; version: number } = {
            lease: null,
            version: 0,
          };
          const all: Process[] = [0, 1, 2].map(() => ({
            state: NO_LEASE,
            read: undefined,
          }));
          for (const { who, kind, passed } of events) {
            now += passed;
            const self = `p${who}`;
            const process_ = all[who] as Process;
            if (kind === "read") {
              process_.read = stored;
              process_.state = observeLease(
                process_.state,
                stored.lease,
                self,
                now,
              );
            } else if (process_.read !== undefined) {
              const step = nextLeaseStep(process_.state, self, LEASE_MS, now);
              const { lease, version } = process_.read;
              process_.read = undefined;
              if (step === "wait") continue;
              const next: Lease =
                step === "renew" && lease !== null
                  ? { ...lease, beat: lease.beat + 1 }
                  : { holder: self, epoch: (lease?.epoch ?? 0) + 1, beat: 0 };
              if (version !== stored.version) continue;
              stored = { lease: next, version: version + 1 };
              if (kind === "write") {
                process_.state = leaseAfterWrite(next, now);
              }
            }
            const holders = all.filter(({ state }, index) =>
              isLeaseHeld(state, `p${index}`, LEASE_MS, now),
            );
            expect(holders.length).to.be.at.most(1);
          }
        }),
        { seed: 7, numRuns: 500 },
      );
    });
  });

  describe("a holder that was paused while it planned roles", () => {
    const config = configSchema.parse({
      fleet: {
        name: "f",
        sites: [{ name: "bilbao", region: "r", domain: "d" }],
      },
      services: [
        {
          ...MODEL_SERVICE,
          roles: { changeCost: 0, dwellMs: 0, mixedFloor: 0 },
          upstreams: ["e1", "e2"].map((id) => ({
            id,
            vm: id,
            site: "bilbao",
            dataAddress: "127.0.0.1:1",
            peerAddress: `127.0.0.1:${id.slice(1)}`,
          })),
        },
      ],
    });
    const service = config.services[0] as Service;

    const newLoop = (
      self: string,
      store: MemoryStore,
      clock: { now: number },
      onReport: () => Promise<void>,
    ) => {
      let tokens = 0;
      const report = async () => {
        await onReport();
        tokens += 20_000;
        const json = JSON.stringify({
          upstream: "e1",
          role: "mixed",
          state: "open",
          inFlight: 0,
          queued: 0,
          prefillTokens: tokens,
          outputTokens: 1000,
          configNumber: 1,
          storeCalls: 0,
        });
        return { json };
      };
      return new ControlLoop({
        self,
        leaseMs: 1000,
        control: new ControlStore(store),
        link: {
          report,
          nudge: async () => ({ accepted: true, reason: "" }),
        },
        log: SILENT_LOG,
        now: () => clock.now,
        wallClock: () => clock.now,
      });
    };

    /** Steps until the loop has planned a change, or gives up. */
    const stepUntilPlanned = async (
      loop: ControlLoop,
      clock: { now: number },
    ) => {
      for (let step = 0; step < 30; step += 1) {
        clock.now += 500;
        await loop.step(service);
        if (loop.lastPlan.kind === "change") return;
      }
    };

    const ordersIn = async (store: MemoryStore) => {
      const { value } = await new ControlStore(store).readControl(service.name);
      return Object.keys(value.desired);
    };

    it("orders a change while it holds the lease", async () => {
      const store = new MemoryStore();
      const clock = { now: 0 };
      const loop = newLoop("a", store, clock, async () => undefined);
      await stepUntilPlanned(loop, clock);
      expect(await ordersIn(store)).to.have.length(1);
    });

    it("orders nothing when another took the lease meanwhile", async () => {
      const store = new MemoryStore();
      const clock = { now: 0 };
      const other = newLoop("b", store, clock, async () => undefined);
      const byHand = { ...service.roles, automatic: false };
      const watched: Service = { ...service, roles: byHand };
      let isFrozen = false;
      const loop = newLoop("a", store, clock, async () => {
        if (!isFrozen) return;
        isFrozen = false;
        // "a" is frozen here, between its reading and its order.
        await other.step(watched);
        clock.now += 2000;
        await other.step(watched);
      });
      for (let step = 0; step < 40; step += 1) {
        clock.now += 500;
        await loop.step(watched);
      }
      clock.now += 500;
      isFrozen = true;
      await loop.step(service);
      while (isFrozen) {
        clock.now += 500;
        await loop.step(service);
      }
      expect(loop.lastPlan.kind, "it wanted a change").to.equal("change");
      expect(await ordersIn(store)).to.deep.equal([]);
    });
  });

  describe("a side that was paused", () => {
    const setUp = async () => {
      const store = new MemoryStore();
      const control = new ControlStore(store);
      const engine = new FakeEngine();
      const clock = { now: 0 };
      const newSide = (incarnation: string) =>
        new OrderExecutor({
          upstream: "e1",
          service: "s",
          incarnation,
          control,
          engine,
          gate: new SideGate(() => 0),
          log: SILENT_LOG,
          now: () => clock.now,
          windowMs: 10,
          pollMs: 1,
        });
      const order = (id: string, value: "decode" | "prefill") =>
        control.order("s", {
          id,
          upstream: "e1",
          action: { kind: "role", value },
          by: "test",
        });
      return { store, engine, clock, newSide, order };
    };

    it("sends nothing once another side has claimed the engine", async () => {
      const { store, engine, clock, newSide, order } = await setUp();
      const first = newSide("first");
      await first.reconcile();
      await order("o1", "decode");
      const second = newSide("second");
      let writes = 0;
      store.beforePut = async (kind) => {
        writes += 1;
        // The first side is frozen right after it wrote "started": its
        // window passes, and the second side claims the engine meanwhile.
        if (kind !== "status" || writes !== 2) return;
        store.beforePut = () => undefined;
        clock.now += 1000;
        await second.reconcile();
      };
      await first.reconcile();
      store.beforePut = () => undefined;
      await second.reconcile();
      await first.reconcile();
      expect(engine.orders.map((item) => item.orderId)).to.deep.equal(["o1"]);
      expect(first.superseded).to.equal(true);
    });

    it("does not send after its window, even when nobody claimed", async () => {
      const { store, engine, clock, newSide, order } = await setUp();
      const side = newSide("only");
      await side.reconcile();
      await order("o2", "prefill");
      let isFirst = true;
      const sentAt: number[] = [];
      const wrapped = engine.order.bind(engine);
      engine.order = (item) => {
        sentAt.push(clock.now);
        return wrapped(item);
      };
      store.beforePut = () => {
        if (!isFirst) return;
        isFirst = false;
        clock.now += 1000;
      };
      await side.reconcile();
      // The write that took too long is followed by a second, in time.
      expect(sentAt).to.deep.equal([1000]);
      const status = await store.get<{ phase: string }>("status", "e1");
      expect(status?.value.phase).to.equal("done");
      expect(status?.version).to.equal(5);
    });
  });

  describe("a side that does not learn that its write took effect", () => {
    /** Four attempts of a write, each read back. */
    const CALLS_OF_WRITE = 8;

    it("goes on, and finishes the order once", async () => {
      const store = new AnswerLosingStore();
      const control = new ControlStore(store);
      const engine = new FakeEngine();
      const side = new OrderExecutor({
        upstream: "e1",
        service: "s",
        incarnation: "first",
        control,
        engine,
        gate: new SideGate(() => 0),
        log: SILENT_LOG,
        now: () => 0,
        windowMs: 1,
        pollMs: 1,
      });
      await side.reconcile();
      await control.order("s", {
        id: "o1",
        upstream: "e1",
        action: { kind: "role", value: "decode" },
        by: "test",
      });
      store.left = CALLS_OF_WRITE;
      await side.reconcile();
      expect(store.left, "answers lost").to.equal(0);
      await side.reconcile();
      expect(side.superseded).to.equal(false);
      const status = await control.readStatus("e1");
      expect(status?.value.phase).to.equal("done");
      const ids = engine.orders.map((order) => order.orderId);
      expect(ids).to.deep.equal(["o1"]);
    });
  });

  describe("a side that crashes between any two steps of an order", () => {
    const STEPS = 14;
    for (let crashAt = 0; crashAt < STEPS; crashAt += 1) {
      for (const isAfter of [false, true]) {
        const when = isAfter ? "after" : "before";
        it(`${when} step ${crashAt}: the next side finishes it once`, async () => {
          const store = new MemoryStore();
          const control = new ControlStore(store);
          const engine = new FakeEngine();
          await control.order("s", {
            id: "o1",
            upstream: "e1",
            action: { kind: "role", value: "decode" },
            by: "test",
          });
          const newSide = (incarnation: string, crash: Crash) =>
            new OrderExecutor({
              upstream: "e1",
              service: "s",
              incarnation,
              control: new ControlStore(crashing(store, crash)),
              engine: crashing(engine, crash),
              gate: new SideGate(() => 0),
              log: SILENT_LOG,
              now: () => 0,
              windowMs: 1,
              pollMs: 1,
            });
          const crash = { left: crashAt, isAfter, isDead: false };
          await newSide("first", crash).reconcile();
          await newSide("second", { ...NO_CRASH }).reconcile();
          const status = await control.readStatus("e1");
          expect(status?.value.phase).to.equal("done");
          const ids = engine.orders.map((order) => order.orderId);
          expect(ids).to.deep.equal(["o1"]);
        });
      }
    }
  });

  describe("real processes", () => {
    let fleet: Fleet;
    const link = new PeerLink(SECRET);
    const SERVICE = { ...MODEL_SERVICE, roles: { automatic: false } };

    before(async () => {
      fleet = await Fleet.start({
        entries: 2,
        services: [SERVICE],
        upstreams: [engineSpec("parts-1"), engineSpec("parts-2")],
      });
    });

    after(async () => {
      link.close();
      await stopAll();
    });

    const lease = async (entry: number) => {
      const [row] = await fleet.rows("show leases", entry);
      return { holder: String(row?.holder), epoch: Number(row?.epoch) };
    };

    const engineOrders = async (id: string) =>
      (await fleet.record<{ orders: unknown[] }>(id)).orders.length;

    it("a holder that is paused past its lease loses it for good", async () => {
      await until(async () => (await lease(0)).epoch > 0);
      const before = await lease(0);
      const paused = before.holder.startsWith("entry-1") ? 0 : 1;
      const other = 1 - paused;
      fleet.entries[paused]?.signal("SIGSTOP");
      await until(async () => (await lease(other)).epoch > before.epoch);
      const taken = await lease(other);
      // It wakes while the store is down: it must not act on its memory.
      await fleet.storeFaults({ down: true });
      fleet.entries[paused]?.signal("SIGCONT");
      const refused = await fleet.command("role parts-1 to decode", paused);
      expect(refused.kind).to.equal("failed");
      await fleet.storeFaults({ down: false });
      await until(async () => (await lease(other)).epoch >= taken.epoch);
      expect((await lease(other)).holder).to.equal(taken.holder);
      expect(await engineOrders("parts-1")).to.equal(0);
    });

    it("a hint without a record behind it does nothing", async () => {
      const peer = fleet.part("parts-2").side.at.peers ?? "";
      await link.nudge(peer, { upstream: "parts-2", seq: 99 });
      await until(async () => {
        const rows = await fleet.rows("show engines where upstream = parts-2");
        return rows[0]?.state === "open";
      });
      expect(await engineOrders("parts-2")).to.equal(0);
    });

    it("a process without the fleet's secret is not heard", async () => {
      const stranger = new PeerLink("not-the-secret");
      const peer = fleet.part("parts-2").side.at.peers ?? "";
      const outcome = await stranger
        .nudge(peer, { upstream: "parts-2", seq: 1 })
        .then(
          () => "heard",
          (err: Error) => err.message,
        );
      stranger.close();
      expect(outcome).to.include("not a process of this fleet");
    });

    it("a side that starts with an empty memory repeats no order", async () => {
      await fleet.command("role parts-2 to decode");
      await fleet.orderFinished("parts-2");
      const before = await engineOrders("parts-2");
      const { side } = fleet.part("parts-2");
      side.signal("SIGKILL");
      await side.ended;
      const fresh = await fleet.restartSide("parts-2");
      await link.nudge(fresh.at.peers ?? "", { upstream: "parts-2", seq: 1 });
      await until(async () => {
        const rows = await fleet.rows("show engines where upstream = parts-2");
        return rows[0]?.role === "decode" && rows[0]?.state === "open";
      });
      expect(await engineOrders("parts-2")).to.equal(before);
    });
  });
});
