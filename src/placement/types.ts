/** Interface to whatever places model requests: this process or another. */
import type {
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
} from "../scheduling/index.js";

export interface Placement {
  place(request: PlacementRequest): Promise<PlacementAnswer>;
  /** Cancels a request: no answer follows, and a grant of it ends. */
  cancel(service: string, id: string): void;
  /** Reports an event of a request; `service` is that of the request. */
  reportEvent(service: string, event: PlacementEvent): void;
}
