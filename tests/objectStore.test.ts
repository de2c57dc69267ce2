import { expect } from "chai";

import {
  ABSENT,
  BudgetedStore,
  HttpObjectStore,
  confirmedWrite,
} from "../src/store/index.js";
import type { ObjectStore } from "../src/store/index.js";
import { exchange } from "../src/http/index.js";
import { MemoryStore } from "./support/memoryStore.js";
import { startStandin, stopAll } from "./support/processes.js";
import type { Program } from "./support/processes.js";

const TIMEOUT_MS = 300;
const PLENTY = 1000;

describe("object store", () => {
  let standin: Program;
  const http = () =>
    new HttpObjectStore(`http://${standin.at.listening}`, TIMEOUT_MS);

  before(async () => {
    standin = await startStandin("objectApi");
  });

  after(stopAll);

  const faults = (body: object) =>
    exchange({
      method: "POST",
      url: `http://${standin.at.listening}/faults`,
      body,
      timeoutMs: 1000,
    });

  const implementations: Record<string, () => ObjectStore> = {
    "over HTTP": http,
    "within a budget": () => new BudgetedStore(http(), PLENTY, () => 0),
    "in memory": () => new MemoryStore(),
  };

  for (const [name, create] of Object.entries(implementations)) {
    describe(`contract, ${name}`, () => {
      const kind = `contract-${name.replaceAll(" ", "-")}`;
      let store: ObjectStore;

      before(() => {
        store = create();
      });

      it("has nothing under an unknown name", async () => {
        expect(await store.get(kind, "none")).to.equal(undefined);
      });

      it("creates once, and tells the second writer what is there", async () => {
        const first = await store.put(kind, "a", { by: 1 }, ABSENT, "w1");
        const second = await store.put(kind, "a", { by: 2 }, ABSENT, "w2");
        expect(first.kind).to.equal("written");
        expect(second.kind).to.equal("conflict");
        if (second.kind !== "conflict") return;
        expect(second.current?.value).to.deep.equal({ by: 1 });
        expect(second.current?.writeId).to.equal("w1");
      });

      it("updates only from the expected version, and versions grow", async () => {
        const before = await store.get<unknown>(kind, "a");
        const version = before?.version ?? 0;
        const result = await store.put(kind, "a", { by: 3 }, version, "w3");
        expect(result.kind).to.equal("written");
        const late = await store.put(kind, "a", { by: 4 }, version, "w4");
        expect(late.kind).to.equal("conflict");
        const after = await store.get<unknown>(kind, "a");
        expect(after?.version).to.be.greaterThan(version);
      });

      it("wakes a watch that waits", async () => {
        const { revision } = await store.watch([kind], 0, 0);
        const waiting = store.watch([kind], revision, 5000);
        await store.put(kind, "b", {}, ABSENT, "w5");
        const names = (await waiting).events.map((event) => event.name);
        expect(names).to.deep.equal(["b"]);
      });
    });
  }

  describe("a write whose answer is lost", () => {
    it("is found to have taken effect", async () => {
      await faults({ loseAnswers: 1 });
      const raw = await http().put("lost", "raw", {}, ABSENT, "x");
      expect(raw.kind).to.equal("unknown");
      await faults({ loseAnswers: 1 });
      const result = await confirmedWrite(
        http(),
        "lost",
        "settled",
        {},
        ABSENT,
        "y",
      );
      expect(result.kind).to.equal("written");
    });

    it("stays unknown while the store is silent", async () => {
      await faults({ silent: true });
      const result = await confirmedWrite(http(), "lost", "s", {}, ABSENT, "z");
      expect(result.kind).to.equal("unknown");
      await faults({ silent: false });
    });
  });

  describe("outages", () => {
    it("are refusals, not doubts, when the store says so", async () => {
      await faults({ down: true });
      const result = await http().put("down", "a", {}, ABSENT, "x");
      expect(result.kind).to.equal("refused");
      await faults({ down: false });
    });

    it("do not grow the calls beyond the budget", async () => {
      let now = 0;
      const inner = new MemoryStore();
      const store = new BudgetedStore(inner, 10, () => now);
      const answers: string[] = [];
      for (let call = 0; call < 100; call += 1) {
        now += 20;
        const put = await store.put("k", `${call}`, {}, ABSENT, "w");
        answers.push(put.kind);
      }
      const passed = answers.filter((kind) => kind === "written").length;
      expect(passed).to.equal(store.calls);
      // Two seconds at ten calls a second, after a burst of twenty.
      expect(passed).to.be.within(38, 41);
    });
  });
});
