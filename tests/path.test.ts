import { expect } from "chai";
import OpenAI from "openai";

import { exchange } from "../src/http/index.js";
import { Fleet } from "./support/fleet.js";
import { stopAll } from "./support/processes.js";
import {
  engineSpec,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainSpec,
} from "./support/specs.js";

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
