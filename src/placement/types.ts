/** Port to whoever places model requests: this process or another. */
import type {
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
} from "../scheduling/index.js";

export interface Placement {
  place(ask: PlacementRequest): Promise<PlacementAnswer>;
  /** Gives an ask up: no answer follows, and a grant of it ends. */
  withdraw(service: string, id: string): void;
  /** Tells what became of a request; `service` is that of its ask. */
  note(service: string, event: PlacementEvent): void;
}
