/** HTTP server for the operators' command line. */
import http from "node:http";

import { applyConfig, configSchema } from "../config/index.js";
import type {
  CallerBounds,
  CallerConnections,
  CallerExchange,
} from "../callers/index.js";
import { BodyTooLargeError, sendJson } from "../http/index.js";
import { parseStatement, StatementError } from "../query/index.js";
import { InvalidInputError } from "../shared/errors.js";
import { parseCheckedYaml } from "../settings/index.js";
import { errText, isSameSecret } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import { ACTIONS } from "./actions/index.js";
import type { ActionResult, OperatorContext } from "./types.js";

const MAX_BODY_BYTES = 1_048_576;
const BODY_TIMEOUT_MS = 10_000;
const MAX_CONNECTIONS = 64;
const MAX_PENDING = 8;
const MAX_NAME_CHARS = 64;
const BEARER = "Bearer ";

/** Response to the command line. */
export type OperatorAnswer =
  | ActionResult
  /** The statement has an error at position `at`. */
  | { kind: "syntax"; text: string; at: number }
  | { kind: "unauthorized"; text: string }
  /** The command could not be executed now. */
  | { kind: "failed"; text: string };

const STATUS: Record<OperatorAnswer["kind"], number> = {
  table: 200,
  message: 200,
  refused: 409,
  syntax: 400,
  unauthorized: 401,
  failed: 503,
};

export interface OperatorServerOptions {
  bounds: CallerBounds;
  token: string | undefined;
  context: Omit<OperatorContext, "by">;
  log: Log;
}

export class OperatorServer {
  readonly server = http.createServer((req, res) =>
    this.connections.serve(
      req,
      res,
      (exchange) => void this.onRequest(req, res, exchange),
    ),
  );
  private readonly connections: CallerConnections;

  constructor(private readonly options: OperatorServerOptions) {
    this.connections = options.bounds.guard(this.server, "operators", {
      maxConnections: MAX_CONNECTIONS,
      maxPending: MAX_PENDING,
    });
  }

  private async onRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    exchange: CallerExchange,
  ): Promise<void> {
    let answer: OperatorAnswer;
    try {
      answer = await this.answer(req, exchange);
    } catch (err) {
      answer = this.answerError(err);
    }
    sendJson(res, STATUS[answer.kind], answer);
    exchange.discardBody(MAX_BODY_BYTES);
  }

  private async answer(
    req: http.IncomingMessage,
    exchange: CallerExchange,
  ): Promise<OperatorAnswer> {
    const error = this.authErrorOf(req);
    if (error !== undefined) return { kind: "unauthorized", text: error };
    const body = await exchange.readBody(MAX_BODY_BYTES, BODY_TIMEOUT_MS);
    const by = this.operatorNameOf(req);
    const ctx: OperatorContext = { ...this.options.context, by };
    const text = body.toString("utf8");
    switch (`${req.method} ${req.url}`) {
      case "POST /command":
        return this.command(ctx, text);
      case "POST /config":
        return this.apply(ctx, text);
      default:
        return { kind: "failed", text: "no such path" };
    }
  }

  /** Returns why a request is not authorized; undefined if it is. */
  private authErrorOf(req: http.IncomingMessage): string | undefined {
    const { token } = this.options;
    if (token === undefined) {
      return "this entry has no operatorToken: commands are refused";
    }
    const given = req.headers.authorization ?? "";
    const isValid =
      given.startsWith(BEARER) &&
      isSameSecret(given.slice(BEARER.length), token);
    return isValid ? undefined : "the operator token is wrong";
  }

  private operatorNameOf(req: http.IncomingMessage): string {
    const name = String(req.headers["x-operator"] ?? "operator");
    return name.slice(0, MAX_NAME_CHARS);
  }

  private async command(
    ctx: OperatorContext,
    text: string,
  ): Promise<OperatorAnswer> {
    const statement = parseStatement(text);
    const action = ACTIONS.find((item) => item.name === statement.verb);
    if (action === undefined) throw unknownVerb(statement.verb);
    const result = await action.perform(ctx, statement);
    this.options.log.info("command", {
      operator: ctx.by,
      command: text,
      result: result.kind,
    });
    return result;
  }

  private async apply(
    ctx: OperatorContext,
    text: string,
  ): Promise<OperatorAnswer> {
    const config = parseCheckedYaml("configuration", text, configSchema);
    const { keeper, store } = ctx;
    const result = await applyConfig(store, keeper.current, config);
    if (result.kind === "lost") {
      await keeper.refresh();
      const won = `configuration ${result.number} came first; nothing changed`;
      return { kind: "refused", text: `refused: ${won}` };
    }
    keeper.adopt(result.snapshot);
    const { number } = result.snapshot.head;
    return { kind: "message", text: `configuration ${number} accepted` };
  }

  private answerError(err: unknown): OperatorAnswer {
    if (err instanceof StatementError) {
      return { kind: "syntax", text: err.message, at: err.at };
    }
    if (err instanceof InvalidInputError || err instanceof BodyTooLargeError) {
      return { kind: "syntax", text: err.message, at: 0 };
    }
    return { kind: "failed", text: errText(err) };
  }
}

/** Error for an unknown verb, with the usage of commands that match it. */
const unknownVerb = (verb: string): StatementError => {
  const matching = ACTIONS.filter(
    (item) =>
      item.keywords.includes(verb) || item.name.startsWith(verb.slice(0, 2)),
  );
  const shown = matching.length > 0 ? matching : ACTIONS;
  const usages = shown.map((item) => item.usage).join("; ");
  return new StatementError(`no command "${verb}"; try ${usages}`, 0);
};
