/** Callers of tests: requests with what came back, and their verdicts. */
import { createHash } from "node:crypto";
import http from "node:http";
import { createParser } from "eventsource-parser";

import { exchange, ExchangeError } from "../../src/http/index.js";

/** What one caller was told. */
export interface Told {
  /** 0: the connection to the entry was lost. */
  status: number;
  verdict: string | undefined;
  requestId: string | undefined;
  replayed: boolean;
  body: string;
}

const TIMEOUT_MS = 20_000;

/** Posts and reports what the caller was told, also of a lost connection. */
export const post = async (
  url: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<Told> => {
  try {
    const answer = await exchange({
      method: "POST",
      url,
      body,
      headers,
      timeoutMs: TIMEOUT_MS,
    });
    return {
      status: answer.status,
      verdict: answer.headers["x-snowgate-verdict"] as string | undefined,
      requestId: answer.headers["x-request-id"] as string | undefined,
      replayed: answer.headers["x-snowgate-replayed"] === "true",
      body: answer.text,
    };
  } catch (err) {
    if (!(err instanceof ExchangeError)) throw err;
    return {
      status: 0,
      verdict: undefined,
      requestId: undefined,
      replayed: false,
      body: err.message,
    };
  }
};

export const reserve = (url: string, key: string, part = "4711") =>
  post(`${url}/reservations`, { part }, { "idempotency-key": key });

/** One open stream of a caller. */
export interface OpenStream {
  /** Resolves with the first token. */
  begun: Promise<void>;
  /** Resolves when the stream has ended, whole or not. */
  ended: Promise<StreamTold>;
  /** The caller goes away. */
  hangUp: () => void;
}

export interface StreamTold {
  status: number;
  words: string[];
  /** What the words say of the prompt that they answer; one each. */
  marks: Set<string>;
  isWhole: boolean;
  error: string | undefined;
}

interface Chunk {
  choices?: { delta?: { content?: string } }[];
  error?: { code: string };
}

/** Opens a stream of a chat completion. */
export const openStream = (
  url: string,
  prompt: string,
  tokens: number,
  headers: Record<string, string> = {},
): OpenStream => {
  const told: StreamTold = {
    status: 0,
    words: [],
    marks: new Set(),
    isWhole: false,
    error: undefined,
  };
  let begin: () => void = () => undefined;
  const begun = new Promise<void>((resolve) => (begin = resolve));
  const req = http.request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { "content-type": "application/json", ...headers },
  });
  const ended = new Promise<StreamTold>((resolve) => {
    const parser = createParser({
      onEvent: ({ data }) => {
        if (data === "[DONE]") return void (told.isWhole = true);
        const chunk = JSON.parse(data) as Chunk;
        if (chunk.error) return void (told.error = chunk.error.code);
        const word = chunk.choices?.[0]?.delta?.content ?? "";
        const [index = "", mark = ""] = word.trim().split("-");
        told.words.push(index);
        told.marks.add(mark);
        begin();
      },
    });
    req.on("response", (res) => {
      told.status = res.statusCode ?? 0;
      res.on("data", (bytes: Buffer) => parser.feed(bytes.toString("utf8")));
      res.on("error", () => undefined);
      res.on("close", () => resolve(told));
    });
    req.on("error", () => resolve(told));
  });
  void ended.then(() => begin());
  req.end(
    JSON.stringify({
      model: "parts-8b",
      stream: true,
      max_tokens: tokens,
      messages: [{ role: "user", content: prompt }],
    }),
  );
  return { begun, ended, hangUp: () => req.destroy() };
};

/** The mark of an answer to a prompt. */
export const markOf = (prompt: string): string =>
  createHash("sha256").update(prompt).digest("hex").slice(0, 8);

/** The words of a whole answer of so many tokens. */
export const wholeWords = (tokens: number): string[] =>
  Array.from({ length: tokens }, (_item, index) => `w${index}`);
