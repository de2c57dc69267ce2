/** What one request to model engines carries from round to round. */
import type { PlacementRequest } from "../scheduling/index.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Verdict } from "../shared/verdict.js";
import { worseVerdict } from "../shared/verdict.js";
import type { CallerRequest } from "./callerRequest.js";
import { StreamRelay } from "./streamRelay.js";
import { overdueFailure } from "./verdicts.js";

/** Rounds of placement of one request at the most. */
const MAX_ROUNDS = 4;
/** Less time than this is not worth another round, ms. */
const LEAST_LEFT_MS = 30;

/** What one round of placement, read and run came to. */
export type Round =
  | { kind: "done" }
  | { kind: "refused"; failure: RequestFailure }
  | {
      kind: "failed";
      verdict: Verdict;
      why: string;
      /** Engine to leave out in the next round. */
      avoid: string;
      /** The engine is not to blame. */
      isBlameless?: boolean;
    };

/** What a request carries from round to round. */
export interface Journey {
  caller: CallerRequest;
  relay: StreamRelay;
  avoid: string[];
  verdict: Verdict;
  rounds: number;
  /** Replicas that ran it, or may have. */
  runs: number;
  grantId: string;
  /** When the engines of the round were granted. */
  grantedAt: number;
  runSentAt: number;
  /** From the send to the first event of the round, ms; 0: none yet. */
  firstEventMs: number;
  /** The runner reads the prompt itself. */
  readsAtRunner: boolean;
}

export const newJourney = (
  caller: CallerRequest,
  onFirstEvent: () => void,
  now: () => number,
): Journey => ({
  caller,
  relay: new StreamRelay(caller, onFirstEvent, now),
  avoid: [],
  verdict: "not-run",
  rounds: 0,
  runs: 0,
  grantId: "",
  grantedAt: 0,
  runSentAt: 0,
  firstEventMs: 0,
  readsAtRunner: false,
});

/** Whether another round is allowed, and worth it. */
export const mayGoOn = (journey: Journey): boolean => {
  const { caller, verdict, rounds, runs } = journey;
  if (caller.cancellation.isCancelled || rounds >= MAX_ROUNDS) return false;
  if (caller.leftMs() < LEAST_LEFT_MS) return false;
  if (caller.isTrial && caller.sentTo.length > 0) return false;
  if (verdict === "not-run") return true;
  return caller.route.isResumable && runs < caller.route.maxAttempts;
};

/** The round that ends a request whose time is over. */
export const overdueRound = (
  journey: Journey,
  verdict: Verdict = "not-run",
): Round => {
  const worse = worseVerdict(journey.verdict, verdict);
  return { kind: "refused", failure: overdueFailure(worse) };
};

/**
 * What the scheduler has to know of it. `domain`: of this process; `unavailable`:
 * engines that want nothing from it for now.
 */
export const askOf = (
  journey: Journey,
  domain: string,
  unavailable: string[],
): PlacementRequest => {
  const { caller, avoid, grantId } = journey;
  const { prompt } = caller.head;
  const elapsedMs = caller.elapsedMs();
  const objectiveMs = caller.hasBegun
    ? caller.leftMs()
    : caller.route.objectiveMs - elapsedMs;
  const silenceMs = caller.hasBegun
    ? caller.leftMs()
    : caller.route.silenceMs - elapsedMs;
  return {
    id: grantId,
    service: caller.service,
    route: caller.route.name,
    domain,
    model: prompt?.model ?? "",
    promptTokens: prompt?.promptTokens ?? 0,
    outputTokens: prompt?.outputTokens ?? 0,
    mostOutputTokens: prompt?.mostOutputTokens ?? 0,
    parts: prompt?.parts ?? [],
    objectiveLeftMs: Math.min(objectiveMs, caller.leftMs()),
    deadlineLeftMs: Math.min(silenceMs, caller.leftMs()),
    answerLeftMs: caller.leftMs(),
    priority: caller.priority,
    isReturn: caller.isReturn,
    avoid,
    unavailable,
  };
};
