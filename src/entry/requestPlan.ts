/**
 * Determines the service, class, deadline and cost of a caller's request. Pure
 * functions of the configuration and the request.
 */
import type http from "node:http";

import type { Config, RequestClass, Service } from "../config/index.js";
import { estimateTokens, prefixChain } from "../routing/index.js";
import { HEADERS } from "../shared/constants.js";
import type { FailureCode, RequestFailure } from "../shared/errors.js";
import { fingerprint } from "../shared/utils.js";

const CHAT_PATH = "/v1/chat/completions";
const COMPLETION_PATH = "/v1/completions";
const DEFAULT_OUTPUT_TOKENS = 16;
const MAX_KEY_CHARS = 255;
const MAX_WORKSPACE_CHARS = 64;
const DEFAULT_WORKSPACE = "default";

/** Properties of a request that routing and sending it depend on. */
export interface RequestPlan {
  service: Service;
  requestClass: RequestClass;
  workspace: string;
  /** Time budget from arrival to the end of the response, ms. */
  budgetMs: number;
  /** Whether the response is a stream of server-sent events. */
  isStream: boolean;
  promptTokens: number;
  outputTokens: number;
  prefixes: readonly string[];
  /** Body to send to the upstream. */
  body: Buffer;
  idempotencyKey: string | undefined;
  /** Fingerprint of method, path and body. */
  fingerprint: string;
}

/** The parts of a request that its plan is computed from. */
export interface IncomingRequest {
  method: string;
  path: string;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
}

export type PlanResult =
  | { kind: "plan"; plan: RequestPlan }
  | { kind: "failure"; failure: RequestFailure };

interface ModelBody {
  model: string;
  stream?: boolean;
  max_tokens?: number;
  max_completion_tokens?: number;
  prompt?: unknown;
  messages?: { content?: unknown }[];
}

const planFailure = (
  status: number,
  code: FailureCode,
  message: string,
): PlanResult => ({
  kind: "failure",
  failure: { status, code, message, verdict: "not-run" },
});

const headerOf = (
  headers: http.IncomingHttpHeaders,
  name: string,
): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const isModelPath = (path: string): boolean =>
  path === CHAT_PATH || path === COMPLETION_PATH;

const textOf = (content: unknown): string =>
  typeof content === "string" ? content : JSON.stringify(content ?? "");

const promptOf = (body: ModelBody): string => {
  if (!Array.isArray(body.messages)) return textOf(body.prompt);
  return body.messages.map((item) => textOf(item.content)).join("\n");
};

const parseModelBody = (body: Buffer): ModelBody | string => {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString("utf8"));
  } catch {
    return "the body is not valid JSON";
  }
  if (typeof parsed !== "object" || parsed === null) {
    return "the body is not a JSON object";
  }
  const { model } = parsed as { model?: unknown };
  if (typeof model !== "string") return 'the body names no "model"';
  return parsed as ModelBody;
};

/** Resolves a model name to its service and `name@version`. */
const findModel = (
  config: Config,
  requested: string,
): { service: Service; exact: string } | undefined => {
  for (const service of config.services) {
    for (const { name, version } of service.models) {
      const exact = `${name}@${version}`;
      if (requested === name || requested === exact) return { service, exact };
    }
  }
  return undefined;
};

const findPlainService = (
  config: Config,
  path: string,
): Service | undefined => {
  let best: Service | undefined;
  let bestLength = -1;
  for (const service of config.services) {
    for (const prefix of service.paths) {
      if (!path.startsWith(prefix) || prefix.length <= bestLength) continue;
      best = service;
      bestLength = prefix.length;
    }
  }
  return best;
};

const selectClass = (
  service: Service,
  request: IncomingRequest,
): RequestClass | undefined => {
  const matched = service.classes.find(
    ({ match }) =>
      match !== undefined &&
      match.method === request.method &&
      request.path.startsWith(match.path),
  );
  const requested = headerOf(request.headers, HEADERS.className);
  // A declared match takes precedence, so that a header can't mark a reservation
  // as repeatable.
  const wanted = matched?.name ?? requested ?? service.defaultClass;
  return service.classes.find((item) => item.name === wanted);
};

/**
 * Returns the time budget, ms; undefined if the header is invalid. A caller
 * may shorten the declared deadline but not extend it.
 */
const budgetOf = (
  requestClass: RequestClass,
  headers: http.IncomingHttpHeaders,
): number | undefined => {
  const text = headerOf(headers, HEADERS.deadline);
  if (text === undefined) return requestClass.deadlineMs;
  const requestedMs = Number(text);
  if (!Number.isFinite(requestedMs) || requestedMs <= 0) return undefined;
  return Math.min(requestClass.deadlineMs, requestedMs);
};

const planFor = (
  service: Service,
  request: IncomingRequest,
  cost: Pick<
    RequestPlan,
    "isStream" | "promptTokens" | "outputTokens" | "prefixes" | "body"
  >,
): PlanResult => {
  const { headers } = request;
  const requestClass = selectClass(service, request);
  if (requestClass === undefined) {
    const requested = headerOf(headers, HEADERS.className) ?? "";
    const known = service.classes.map((item) => item.name).join(", ");
    return planFailure(
      400,
      "bad_request",
      `service ${service.name} has no class "${requested}"; it has ${known}`,
    );
  }
  const budgetMs = budgetOf(requestClass, headers);
  if (budgetMs === undefined) {
    return planFailure(
      400,
      "bad_request",
      `${HEADERS.deadline} is not a time in ms`,
    );
  }
  const key = headerOf(headers, HEADERS.idempotencyKey);
  if (requestClass.repeat === "never" && !key) {
    return planFailure(
      400,
      "key_missing",
      `class ${requestClass.name} must never be repeated: send an ` +
        "Idempotency-Key header",
    );
  }
  if (key !== undefined && key.length > MAX_KEY_CHARS) {
    return planFailure(400, "bad_request", "the Idempotency-Key is too long");
  }
  const workspace = headerOf(headers, HEADERS.workspace) ?? DEFAULT_WORKSPACE;
  if (workspace.length > MAX_WORKSPACE_CHARS) {
    return planFailure(400, "bad_request", "the workspace's name is too long");
  }
  const { method, path, body } = request;
  const plan: RequestPlan = {
    service,
    requestClass,
    workspace,
    budgetMs,
    idempotencyKey: key,
    fingerprint: fingerprint(`${method} ${path}\n${body.toString("utf8")}`),
    ...cost,
  };
  return { kind: "plan", plan };
};

const planModelRequest = (
  config: Config,
  request: IncomingRequest,
): PlanResult => {
  const body = parseModelBody(request.body);
  if (typeof body === "string") return planFailure(400, "bad_request", body);
  const found = findModel(config, body.model);
  if (found === undefined) {
    return planFailure(
      404,
      "unknown_model",
      `no service has model ${body.model}`,
    );
  }
  const prompt = promptOf(body);
  const requested = body.max_completion_tokens ?? body.max_tokens;
  const outputTokens = Number(requested ?? DEFAULT_OUTPUT_TOKENS);
  if (!Number.isInteger(outputTokens) || outputTokens < 1) {
    return planFailure(
      400,
      "bad_request",
      "max_tokens is not a count of tokens",
    );
  }
  const sent = { ...body, model: found.exact, max_tokens: outputTokens };
  return planFor(found.service, request, {
    isStream: body.stream === true,
    promptTokens: estimateTokens(prompt),
    outputTokens,
    prefixes: prefixChain(found.exact, prompt),
    body: Buffer.from(JSON.stringify(sent)),
  });
};

/** Computes the plan of a request, or the failure to return to its caller. */
export const planRequest = (
  config: Config,
  request: IncomingRequest,
): PlanResult => {
  if (isModelPath(request.path)) {
    if (request.method !== "POST") {
      return planFailure(405, "bad_request", "use POST here");
    }
    return planModelRequest(config, request);
  }
  const service = findPlainService(config, request.path);
  if (service === undefined) {
    return planFailure(404, "unknown_route", `no service has ${request.path}`);
  }
  return planFor(service, request, {
    isStream: false,
    promptTokens: 0,
    outputTokens: 0,
    prefixes: [],
    body: request.body,
  });
};
