/** What the sends of one plain request have shown so far. No I/O. */
import type { Verdict } from "../shared/verdict.js";
import { worseVerdict } from "../shared/verdict.js";
import type { CallerRequest } from "./callerRequest.js";
import { isServerError } from "./plainSender.js";
import type { Attempt } from "./plainSender.js";

/** Maximum sends of one request, including those that replicas refused. */
const MAX_SENDS = 4;

export class PlainProgress {
  /** Ids of the replicas that it was sent to, or was to be sent to. */
  readonly tried = new Set<string>();
  verdict: Verdict = "not-run";
  why = "no replica is known";
  /** The last complete answer, which may be a 5xx. */
  answer: (Attempt & { kind: "answer" }) | undefined;
  /** Whether no further send is to follow. */
  private isDone = false;
  private hasSentTwice = false;
  private sends = 0;
  private runs = 0;

  constructor(private readonly caller: CallerRequest) {}

  get maySend(): boolean {
    return !this.isDone && this.sends < this.maxSends;
  }

  /** Whether both sends may run: two runs and two sends must be left. */
  get maySendTwice(): boolean {
    const { route, isTrial } = this.caller;
    if (route.kind !== "safe" || isTrial || this.hasSentTwice) return false;
    const hasRunsLeft = this.runs + 2 <= route.maxAttempts;
    return hasRunsLeft && this.sends < this.maxSends;
  }

  end(): void {
    this.isDone = true;
  }

  recordSend(replica: string): void {
    this.sends += 1;
    this.tried.add(replica);
  }

  recordSecondSend(replica: string): void {
    this.hasSentTwice = true;
    this.recordSend(replica);
  }

  recordEnd(attempt: Attempt): void {
    const { caller } = this;
    if (attempt.kind === "answer") {
      this.answer = attempt;
      this.runs += 1;
      this.isDone ||= !this.shouldRetryResponse(attempt);
      return;
    }
    this.verdict = worseVerdict(this.verdict, attempt.verdict);
    this.why = attempt.why;
    if (attempt.verdict !== "not-run") this.runs += 1;
    const isSafe = this.verdict === "not-run" || caller.route.kind === "safe";
    const isCancelled = caller.cancellation.isCancelled;
    this.isDone ||= isCancelled || !isSafe || !this.hasRunLeft;
  }

  private get maxSends(): number {
    return this.caller.isTrial ? 1 : MAX_SENDS;
  }

  private get hasRunLeft(): boolean {
    return this.runs < this.caller.route.maxAttempts;
  }

  /** Whether a safe request with a 5xx response is tried on another replica. */
  private shouldRetryResponse(attempt: Attempt): boolean {
    const { route } = this.caller;
    if (!isServerError(attempt)) return false;
    if (route.kind !== "safe" || !this.hasRunLeft) return false;
    return this.caller.elapsedMs() < route.objectiveMs;
  }
}
