import { expect } from "chai";
import OpenAI from "openai";

import { exchange } from "../src/http/index.js";
import { markOf, openStream, wholeWords } from "./support/callers.js";
import { Fleet } from "./support/fleet.js";
import { stopAll } from "./support/processes.js";
import {
  engineSpec,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainSpec,
} from "./support/specs.js";
import { until } from "./support/until.js";

describe("the whole path", () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start({
      entries: 1,
      services: [MODEL_SERVICE, PLAIN_SERVICE],
      upstreams: [engineSpec("parts-1"), plainSpec("stock-1")],
    });
  });

  after(stopAll);

  const client = () =>
    new OpenAI({
      apiKey: "none",
      baseURL: `${fleet.entryUrl()}/v1`,
      maxRetries: 0,
    });

  it("answers a chat completion whole", async () => {
    const answer = await client().chat.completions.create({
      model: "parts-8b",
      max_tokens: 3,
      messages: [{ role: "user", content: "which filter fits?" }],
    });
    const text = answer.choices[0]?.message.content ?? "";
    expect(text.trim().split(" ")).to.have.length(3);
  });

  it("streams every token in order", async () => {
    const stream = await client().chat.completions.create({
      model: "parts-8b",
      max_tokens: 8,
      stream: true,
      messages: [{ role: "user", content: "draft a note" }],
    });
    const words: string[] = [];
    for await (const chunk of stream) {
      words.push(chunk.choices[0]?.delta.content?.split("-")[0] ?? "");
    }
    expect(words).to.deep.equal(
      [0, 1, 2, 3, 4, 5, 6, 7].map((index) => `w${index}`),
    );
  });

  it("lists the declared models", async () => {
    const models = await client().models.list();
    expect(models.data.map((item) => item.id)).to.deep.equal(["parts-8b"]);
  });

  it("passes a plain service's request and answer", async () => {
    const answer = await exchange({
      method: "GET",
      url: `${fleet.entryUrl()}/stock/4711`,
      timeoutMs: 5000,
    });
    expect(answer.status).to.equal(200);
    expect(JSON.parse(answer.text)).to.include({ path: "/stock/4711" });
  });
});

describe("engines for prefill and for decode", () => {
  let fleet: Fleet;
  const PROMPT = "shared manual ".repeat(1000);
  const TOKENS = 20;

  before(async () => {
    fleet = await Fleet.start({
      entries: 1,
      services: [{ ...MODEL_SERVICE, roles: { automatic: false } }],
      upstreams: [engineSpec("reader"), engineSpec("writer")],
    });
    await fleet.command("role reader to prefill");
    await fleet.command("role writer to decode");
    await fleet.orderFinished("reader");
    await fleet.orderFinished("writer");
    // Roles travel with the news of members.
    await until(async () => {
      const rows = await fleet.rows("show members where kind = side");
      const roles = rows.map((row) => row.role).sort();
      return roles.join() === "decode,prefill";
    });
  });

  after(stopAll);

  const ask = (prompt: string) => openStream(fleet.entryUrl(), prompt, TOKENS);

  const imports = async () =>
    (await fleet.record<{ kvImports: number }>("writer")).kvImports;

  it("pass a long prompt's KV cache from one to the other", async () => {
    const told = await ask(PROMPT).ended;
    expect(told.words).to.deep.equal(wholeWords(TOKENS));
    expect([...told.marks]).to.deep.equal([markOf(PROMPT)]);
    expect(await imports()).to.equal(1);
  });

  it("answer a short prompt without a transfer", async () => {
    const before = await imports();
    expect((await ask("short").ended).isWhole).to.equal(true);
    expect(await imports()).to.equal(before);
  });

  it("answer whole when the engine for prefill is gone", async () => {
    fleet.part("reader").standin.signal("SIGKILL");
    const told = await ask(`${PROMPT} again`).ended;
    expect(told.words).to.deep.equal(wholeWords(TOKENS));
  });
});
