/** Interface to whatever places model requests: this process or another. */
import type {
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
} from "../scheduling/index.js";

export interface Placement {
  place(request: PlacementRequest): Promise<PlacementAnswer>;
  /** Cancels an ask: no answer follows, and a grant of it ends. */
  cancel(service: string, id: string): void;
  /** Reports an event of a request; `service` is that of its ask. */
  reportEvent(service: string, event: PlacementEvent): void;
}
