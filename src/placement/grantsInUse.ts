/** Grants that this process uses, to be reported to a new lease holder. */
import type {
  Grant,
  PlacementAnswer,
  PlacementEvent,
  PlacementRequest,
} from "../scheduling/index.js";

export interface GrantInUse {
  request: PlacementRequest;
  grant: Grant;
  /** Whether an engine has prefilled its prompt. */
  isRead: boolean;
}

export class GrantsInUse {
  private readonly grants = new Map<string, GrantInUse>();

  /** Records the answer if it is a grant, and returns it. */
  record(request: PlacementRequest, answer: PlacementAnswer): PlacementAnswer {
    if (answer.kind === "granted")
      this.grants.set(request.id, { request, grant: answer, isRead: false });
    return answer;
  }

  remove(id: string): void {
    this.grants.delete(id);
  }

  onEvent(event: PlacementEvent): void {
    if (event.kind === "ended") this.grants.delete(event.id);
    if (event.kind !== "read" && event.kind !== "begun") return;
    const item = this.grants.get(event.id);
    if (item !== undefined) item.isRead = true;
  }

  of(service: string): GrantInUse[] {
    return [...this.grants.values()].filter(
      ({ request }) => request.service === service,
    );
  }
}
