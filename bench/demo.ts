/** Demo: starts a small deployment, sends requests, prints answers and goodput. */
import OpenAI from "openai";

import { exchange } from "../src/http/index.js";
import { Fleet } from "../tests/support/fleet.js";
import { stopAll } from "../tests/support/processes.js";
import {
  engineSpec,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainSpec,
} from "../tests/support/specs.js";

const QUESTIONS = [
  "Does filter 4711 fit the 2019 bus?",
  "Which brake pad replaces 88-20?",
  "Draft a fitting note for wiper motor 12.",
];
const STREAM_TOKENS = 12;

const streamAnswer = async (
  client: OpenAI,
  question: string,
): Promise<string> => {
  const stream = await client.chat.completions.create({
    model: "parts-8b",
    max_tokens: STREAM_TOKENS,
    stream: true,
    messages: [{ role: "user", content: question }],
  });
  let text = "";
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
  }
  return text;
};

const run = async (): Promise<void> => {
  console.log("starting a small deployment on loopback ...");
  const fleet = await Fleet.start({
    entries: 2,
    services: [MODEL_SERVICE, PLAIN_SERVICE],
    upstreams: [
      engineSpec("parts-1"),
      engineSpec("parts-2"),
      plainSpec("stock-1"),
    ],
  });
  let done = 0;
  for (const [index, question] of QUESTIONS.entries()) {
    const baseURL = `${fleet.entryUrl(index % 2)}/v1`;
    const client = new OpenAI({ apiKey: "none", baseURL, maxRetries: 0 });
    console.log(`> ${question}\n< ${await streamAnswer(client, question)}`);
    done += 1;
  }
  const answer = await exchange({
    method: "POST",
    url: `${fleet.entryUrl()}/reservations`,
    headers: { "idempotency-key": "demo-1" },
    body: { part: "4711", depot: "oviedo" },
    timeoutMs: 5000,
  });
  console.log(`> reserve 4711\n< ${answer.status} ${answer.text}`);
  if (answer.status === 200) done += 1;
  const sent = QUESTIONS.length + 1;
  console.log(`goodput: ${done} of ${sent} requests within their deadline`);
  for (const entry of fleet.entries) entry.signal("SIGTERM");
  const codes = await Promise.all(fleet.entries.map((entry) => entry.ended));
  console.log(`entries stopped with ${codes.join(", ")}`);
};

try {
  await run();
} finally {
  await stopAll();
}
