/** The orders' interface of a model engine, over HTTP. */
import { exchange, ExchangeError } from "../http/index.js";
import type { OrderAction } from "../control/index.js";

/** What an engine says of itself. */
export interface EngineState {
  role: string;
  models: string[];
  adapters: string[];
  highestFence: number;
  /** Id of the order that it works on. */
  busyWith: string | null;
  lastOrder: { orderId: string; fence: number; outcome: string } | null;
}

/** What sending an order came to. */
export type OrderSendResult =
  | { kind: "started" }
  /** The engine refused: an old fencing number, or busy. */
  | { kind: "refused"; why: string }
  /** It may have arrived or not: ask the engine for its state. */
  | { kind: "unknown"; why: string };

/** One order as the engine takes it. */
export interface EngineOrder {
  orderId: string;
  fence: number;
  action: OrderAction;
}

/** Orders and state of a model engine. */
export interface ModelEngine {
  state(): Promise<EngineState>;
  order(order: EngineOrder): Promise<OrderSendResult>;
}

const TIMEOUT_MS = 2000;
const HTTP_ACCEPTED = 202;

export class HttpModelEngine implements ModelEngine {
  constructor(private readonly url: string) {}

  async state(): Promise<EngineState> {
    const url = `${this.url}/admin/state`;
    const answer = await exchange({
      method: "GET",
      url,
      timeoutMs: TIMEOUT_MS,
    });
    return JSON.parse(answer.text) as EngineState;
  }

  async order(order: EngineOrder): Promise<OrderSendResult> {
    try {
      const answer = await exchange({
        method: "POST",
        url: `${this.url}/admin/orders`,
        body: order,
        timeoutMs: TIMEOUT_MS,
      });
      if (answer.status === HTTP_ACCEPTED) return { kind: "started" };
      return { kind: "refused", why: `${answer.status} ${answer.text}` };
    } catch (err) {
      const why = err instanceof Error ? err.message : String(err);
      const isSent = err instanceof ExchangeError && err.sent;
      return isSent ? { kind: "unknown", why } : { kind: "refused", why };
    }
  }
}
