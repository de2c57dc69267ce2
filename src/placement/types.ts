/** Port to whoever places model requests: this process or another. */
import type {
  PlacementAnswer,
  PlacementAsk,
  PlacementEvent,
} from "../scheduling/index.js";

export interface Placement {
  place(ask: PlacementAsk): Promise<PlacementAnswer>;
  /** Gives an ask up: no answer follows, and a grant of it ends. */
  cancel(service: string, id: string): void;
  /** Tells what became of a request; `service` is that of its ask. */
  reportEvent(service: string, event: PlacementEvent): void;
}
