/**
 * Stand-in for a model engine: an OpenAI-compatible HTTP API for requests, and
 * `/admin` for orders, state, load and the KV cache. It records every request
 * that it ran and every order that it received, for tests to check.
 */
import { createHash } from "node:crypto";

import { EngineModel } from "./engineModel.js";
import type { Sequence } from "./engineModel.js";
import { readOptions, reply, serve } from "./support.js";
import type { Call } from "./support.js";

interface Faults {
  /** Number of responses that carry another request's id. */
  cross: number;
  /** Number of streams that are cut after `cutAfter` tokens. */
  cut: number;
  cutAfter: number;
  /** Number of streams that send each chunk twice. */
  duplicate: number;
  /** Whether the process exits during the next order. */
  dieInOrder: boolean;
  /** Number of orders that are executed without a response. */
  loseOrderAnswers: number;
}

interface Order {
  orderId: string;
  fence: number;
  action: { kind: string; value?: string };
}

interface ChatBody {
  model?: string;
  stream?: boolean;
  max_tokens?: number;
  messages?: { role: string; content: string }[];
  prompt?: string;
}

const options = readOptions({
  prefillTokensPerSecond: 8000,
  stepMs: 12,
  sequenceMs: 0.4,
  maxSequences: 32,
  chunkTokens: 512,
  cacheBlocks: 512,
  orderMs: 300,
  kvTokensPerSecond: 200_000,
  loadLagMs: 0,
  models: ["parts-8b@1"],
  checksFence: true,
  address: "127.0.0.1:0",
});
const engine = new EngineModel(options);
const models = new Set(options.models);
const adapters = new Set<string>();
let faults: Faults = {
  cross: 0,
  cut: 0,
  cutAfter: 2,
  duplicate: 0,
  dieInOrder: false,
  loseOrderAnswers: 0,
};
const runs: { requestId: string; from: number; state: string }[] = [];
const orders: (Order & { outcome: string; clash: boolean })[] = [];
let highestFence = 0;
let busyWith: Order | undefined;
let lastOrder: { orderId: string; fence: number; outcome: string } | undefined;

const URGENCIES = ["urgent", "normal", "batch"];

const promptOf = (body: ChatBody): string =>
  body.prompt ?? (body.messages ?? []).map((item) => item.content).join("\n");

const digestOfPrompt = (prompt: string): string =>
  createHash("sha256").update(prompt).digest("hex").slice(0, 8);

/** Functions that break the connection of each current request, by sequence. */
const connections = new Map<string, () => void>();

/** Kinds of orders that interrupt all current requests. */
const INTERRUPTING_ORDERS = ["role", "unload-model"];

const cutStream = (call: Call, sequence: Sequence): void => {
  engine.cancel(sequence.id);
  call.res.destroy();
};

const generate = (call: Call, isChat: boolean): void => {
  const { req, res, body: raw } = call;
  const body = JSON.parse(raw.toString("utf8")) as ChatBody;
  const requestId = String(req.headers["x-request-id"] ?? "");
  if (!models.has(body.model ?? "")) {
    return reply(
      res,
      404,
      { error: { message: `model ${body.model} is not loaded` } },
      { "x-request-id": requestId },
    );
  }
  const prompt = promptOf(body);
  const promptTokens = Math.ceil(prompt.length / 4);
  const isCrossed = faults.cross > 0;
  if (isCrossed) faults.cross -= 1;
  const mark = isCrossed ? "othersXX" : digestOfPrompt(prompt);
  const isExport = req.headers["x-snowgate-kv-export"] !== undefined;
  const kvUrl = req.headers["x-snowgate-kv-import"];
  const outputTokens = isExport ? 0 : Math.max(1, body.max_tokens ?? 16);
  const from = Number(req.headers["x-snowgate-resume-from"] ?? 0);
  const urgency = String(req.headers["x-snowgate-urgency"] ?? "normal");
  const run = { requestId, from, state: "running" };
  runs.push(run);
  const responseId = isCrossed ? "some-other-request" : requestId;
  const isCut = faults.cut > 0;
  if (isCut) faults.cut -= 1;
  const isDuplicated = faults.duplicate > 0;
  if (isDuplicated) faults.duplicate -= 1;
  const id = `cmpl-${responseId}`;
  const created = Math.floor(Date.now() / 1000);
  const object = isChat ? "chat.completion" : "text_completion";
  const words: string[] = [];
  const formatChunk = (text: string, finish: string | null, index: number) => {
    const choice = isChat
      ? { index: 0, delta: { content: text }, finish_reason: finish }
      : { index: 0, text, finish_reason: finish };
    const chunk = {
      id,
      object: isChat ? `${object}.chunk` : object,
      created,
      model: body.model,
      choices: [choice],
      token_index: index,
    };
    return `data: ${JSON.stringify(chunk)}\n\n`;
  };
  const onToken = (index: number) => {
    const word = `w${index}-${mark} `;
    words.push(word);
    if (isCut && words.length > faults.cutAfter) {
      run.state = "cut";
      return cutStream(call, sequence);
    }
    if (!body.stream) return;
    const finish = index + 1 >= outputTokens ? "stop" : null;
    const text = formatChunk(word, finish, index);
    res.write(isDuplicated ? text + text : text);
  };
  const onEnd = () => {
    run.state = "done";
    if (isExport) return replyToExport(call, requestId, promptTokens);
    if (body.stream) return void res.end("data: [DONE]\n\n");
    const text = words.join("");
    const choice = isChat
      ? { index: 0, message: { role: "assistant", content: text } }
      : { index: 0, text };
    reply(
      res,
      200,
      {
        id,
        object,
        created,
        model: body.model,
        choices: [{ ...choice, finish_reason: "stop" }],
        usage: { completion_tokens: outputTokens },
      },
      { "x-request-id": responseId },
    );
  };
  const sequence: Sequence = {
    id: `${requestId}/${runs.length}`,
    urgency: URGENCIES.indexOf(urgency),
    promptTokens,
    blocks: EngineModel.blocksOf(body.model ?? "", prompt),
    tokensToRead: promptTokens,
    hasLookedUp: false,
    nextToken: Math.min(from, outputTokens - 1),
    outputTokens,
    onToken,
    onEnd,
  };
  connections.set(sequence.id, () => {
    run.state = "taken-away";
    cutStream(call, sequence);
  });
  res.on("close", () => {
    connections.delete(sequence.id);
    if (run.state !== "running") return;
    run.state = "cancelled";
    engine.cancel(sequence.id);
  });
  if (body.stream && !isExport) {
    res.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": responseId,
    });
    res.flushHeaders();
  }
  if (kvUrl === undefined) return engine.add(sequence);
  void importKv(String(kvUrl)).then((isImported) => {
    if (isImported) engine.markImported(sequence);
    if (isImported) kvImports += 1;
    if (run.state === "running") engine.add(sequence);
  });
};

/** KV caches prefilled for other engines: prompt tokens by request id. */
const exported = new Map<string, number>();
let kvImports = 0;

const replyToExport = ({ req, res }: Call, id: string, tokens: number) => {
  exported.set(id, tokens);
  const url = `http://${req.headers.host}/admin/kv/${id}`;
  reply(res, 200, { kv: { url, tokens } }, { "x-request-id": id });
};

/** Transfers a KV cache to another engine; the delay depends on its tokens. */
const sendKv = ({ res }: Call, id: string): void => {
  const tokens = exported.get(id);
  if (tokens === undefined) return reply(res, 404, {});
  exported.delete(id);
  const durationMs = (tokens / options.kvTokensPerSecond) * 1000;
  setTimeout(() => reply(res, 200, { tokens }), durationMs);
};

const importKv = async (url: string): Promise<boolean> => {
  try {
    const answer = await fetch(url);
    await answer.text();
    return answer.ok;
  } catch {
    return false;
  }
};

const applyOrder = ({ action }: Order): void => {
  const value = action.value ?? "";
  switch (action.kind) {
    case "role":
      engine.role = value;
      return engine.clearCache();
    case "load-model":
      return void models.add(value);
    case "unload-model":
      return void models.delete(value);
    case "load-adapter":
      return void adapters.add(value);
    default:
      throw new Error(`unknown action ${action.kind}`);
  }
};

const takeOrder = ({ res, body }: Call): void => {
  const order = JSON.parse(body.toString("utf8")) as Order;
  if (options.checksFence && order.fence < highestFence) {
    return reply(res, 412, { error: "old fencing number", highestFence });
  }
  const clash = busyWith !== undefined;
  orders.push({ ...order, outcome: "started", clash });
  if (clash && options.checksFence) {
    return reply(res, 409, { error: "busy", busyWith });
  }
  highestFence = Math.max(highestFence, order.fence);
  busyWith = order;
  if (INTERRUPTING_ORDERS.includes(order.action.kind)) {
    for (const cut of connections.values()) cut();
  }
  if (faults.dieInOrder) process.exit(1);
  setTimeout(() => {
    applyOrder(order);
    busyWith = undefined;
    lastOrder = { orderId: order.orderId, fence: order.fence, outcome: "done" };
  }, options.orderMs);
  if (faults.loseOrderAnswers > 0) {
    faults.loseOrderAnswers -= 1;
    return void res.destroy();
  }
  reply(res, 202, { started: order.orderId });
};

const state = () => ({
  role: engine.role,
  models: [...models],
  adapters: [...adapters],
  highestFence,
  busyWith: busyWith?.orderId ?? null,
  lastOrder: lastOrder ?? null,
});

await serve((call) => {
  const { url, res, body } = call;
  const [, , kind, kvId] = url.pathname.split("/");
  if (kind === "kv" && kvId !== undefined) return sendKv(call, kvId);
  switch (url.pathname) {
    case "/v1/chat/completions":
      return generate(call, true);
    case "/v1/completions":
      return generate(call, false);
    case "/admin/orders":
      return takeOrder(call);
    case "/admin/state":
      return reply(res, 200, state());
    case "/admin/record":
      return reply(res, 200, {
        runs,
        orders,
        kvImports,
        reusedTokens: engine.reusedTokens,
        readTokens: engine.readTokens,
      });
    case "/admin/load":
      return void setTimeout(
        () =>
          reply(res, 200, {
            active: engine.active,
            unreadTokens: engine.unreadTokens,
          }),
        options.loadLagMs,
      );
    case "/admin/faults":
      faults = { ...faults, ...(JSON.parse(body.toString()) as Faults) };
      return reply(res, 200, faults);
    default:
      return reply(res, 404, { error: { message: "no such path" } });
  }
}, options.address);
