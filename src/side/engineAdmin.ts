/** Client for a model engine's admin API over HTTP. */
import { exchange, ExchangeError } from "../http/index.js";
import type { OrderAction } from "../control/index.js";

/** State reported by an engine. */
export interface EngineState {
  role: string;
  models: string[];
  adapters: string[];
  highestFence: number;
  /** Id of the order in progress. */
  busyWith: string | null;
  lastOrder: { orderId: string; fence: number; outcome: string } | null;
}

/** Result of sending an order. */
export type OrderSendResult =
  | { kind: "started" }
  /** The engine refused (outdated fencing token or busy) or was not reached. */
  | { kind: "refused"; why: string }
  /** The order may have arrived; the engine's state tells. */
  | { kind: "unknown"; why: string };

/** An order in the format of the engine's admin API. */
export interface EngineOrder {
  orderId: string;
  fence: number;
  action: OrderAction;
}

/** Admin API of a model engine. */
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
