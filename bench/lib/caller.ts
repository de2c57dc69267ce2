/** Bench client: sends one streamed request and measures its latencies. */
import http from "node:http";
import { createParser } from "eventsource-parser";

const agent = new http.Agent({ keepAlive: true });

export interface CompletionOutcome {
  status: number;
  isWhole: boolean;
  /** Time from sending to the first token, ms; 0 if none arrived. */
  firstTokenMs: number;
  /** Times between tokens, ms. */
  gapsMs: number[];
  totalMs: number;
  code: string;
}

export interface BenchRequest {
  url: string;
  prompt: string;
  outputTokens: number;
  headers: Record<string, string>;
}

export const streamCompletion = (
  request: BenchRequest,
): Promise<CompletionOutcome> =>
  new Promise((resolve) => {
    const startedAt = performance.now();
    const outcome: CompletionOutcome = {
      status: 0,
      isWhole: false,
      firstTokenMs: 0,
      gapsMs: [],
      totalMs: 0,
      code: "",
    };
    let lastAt = 0;
    const finish = () => {
      outcome.totalMs = performance.now() - startedAt;
      resolve(outcome);
    };
    const req = http.request(`${request.url}/v1/chat/completions`, {
      method: "POST",
      agent,
      headers: { "content-type": "application/json", ...request.headers },
    });
    req.on("error", (err) => {
      outcome.code = err.message;
      finish();
    });
    req.on("response", (res) => {
      outcome.status = res.statusCode ?? 0;
      const parser = createParser({
        onEvent: ({ data }) => {
          if (data === "[DONE]") return void (outcome.isWhole = true);
          if (data.startsWith('{"error"')) return;
          const now = performance.now();
          if (outcome.firstTokenMs === 0) {
            outcome.firstTokenMs = now - startedAt;
          } else outcome.gapsMs.push(now - lastAt);
          lastAt = now;
        },
      });
      const decoder = new TextDecoder();
      let error = "";
      res.on("data", (bytes: Buffer) => {
        const text = decoder.decode(bytes, { stream: true });
        if (outcome.status === 200) parser.feed(text);
        else error += text;
      });
      res.on("error", () => undefined);
      res.on("close", () => {
        if (error !== "") outcome.code = errorCodeOf(error);
        finish();
      });
    });
    req.end(
      JSON.stringify({
        model: "parts-8b",
        stream: true,
        max_tokens: request.outputTokens,
        messages: [{ role: "user", content: request.prompt }],
      }),
    );
  });

const errorCodeOf = (text: string): string => {
  try {
    return (JSON.parse(text) as { error: { code: string } }).error.code;
  } catch {
    return "unreadable";
  }
};
