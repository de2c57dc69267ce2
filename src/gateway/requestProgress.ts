/** State of one request to model engines over all its placement rounds. */
import type { PlacementRequest, StreamRef } from "../scheduling/index.js";
import type { RequestFailure } from "../shared/errors.js";
import type { Verdict } from "../shared/verdict.js";
import { worseVerdict } from "../shared/verdict.js";
import type { CallerRequest } from "./callerRequest.js";
import type { RetryPermit } from "./retryBudgets.js";
import { StreamRelay } from "./streamRelay.js";
import { deadlineFailure } from "./verdicts.js";

/** Maximum placement rounds of one request. */
const MAX_ROUNDS = 4;
/** No further round is started with less time left than this, ms. */
const MIN_TIME_LEFT_MS = 30;

/** Result of one round: placement, prefill and run. */
export type RoundResult =
  | { kind: "done" }
  | { kind: "refused"; failure: RequestFailure }
  | {
      kind: "failed";
      verdict: Verdict;
      why: string;
      /** Engine to exclude from the next round. */
      avoid: string;
      /** Set if the failure is not a fault of the engine. */
      isNotEngineFault?: boolean;
      /** The runner refused the run with its prefill handle as not run. */
      isHandleRefused?: boolean;
    };

/** State of a request that is kept from round to round. */
export interface RequestProgress {
  caller: CallerRequest;
  relay: StreamRelay;
  avoid: string[];
  verdict: Verdict;
  rounds: number;
  /** Number of replicas that ran the request or may have. */
  runs: number;
  grantId: string;
  /** Software version of the engine that runs the current round. */
  grantedVersion: string | undefined;
  /** Software version that sent the first event; undefined before it. */
  runnerVersion: string | undefined;
  /** Whether an engine has prefilled the prompt for another one. */
  hasPrefilled: boolean;
  /** Retries of this request that the budget was charged. */
  chargedRetries: number;
  /** For the sends of the current round; undefined before the first. */
  retries: RetryPermit | undefined;
  /** When the current round's engines were granted, ms. */
  grantedAt: number;
  runSentAt: number;
  /** Time from the send to the round's first event, ms; 0: no event yet. */
  firstEventMs: number;
  /** Whether the engine that runs the request also prefills its prompt. */
  runnerPrefills: boolean;
  /** Whether one engine must prefill and run it, if one can in time. */
  isWhole: boolean;
}

export const newRequestProgress = (
  caller: CallerRequest,
  onFirstEvent: () => void,
  now: () => number,
): RequestProgress => ({
  caller,
  relay: new StreamRelay(caller, onFirstEvent, now),
  avoid: [],
  verdict: "not-run",
  rounds: 0,
  runs: 0,
  grantId: "",
  grantedVersion: undefined,
  runnerVersion: undefined,
  hasPrefilled: false,
  chargedRetries: 0,
  retries: undefined,
  grantedAt: 0,
  runSentAt: 0,
  firstEventMs: 0,
  runnerPrefills: false,
  isWhole: false,
});

/**
 * How many of a request's sends are retries: all but the first, and but the
 * first prefill that an engine carried out for another one.
 */
export const retriesIn = (sends: number, hasPrefilled: boolean): number =>
  Math.max(0, sends - 1 - (hasPrefilled ? 1 : 0));

/** Whether another round is allowed and enough time is left for it. */
export const canRetry = (progress: RequestProgress): boolean => {
  const { caller, verdict, rounds, runs } = progress;
  if (caller.cancellation.isCancelled || rounds >= MAX_ROUNDS) return false;
  if (caller.leftMs() < MIN_TIME_LEFT_MS) return false;
  if (caller.isTrial && caller.possibleRuns > 0) return false;
  // Events of an engine whose version is not known fit those of no other.
  const { relay, runnerVersion } = progress;
  if (relay.events > 0 && runnerVersion === undefined) return false;
  if (verdict === "not-run") return true;
  return caller.route.isResumable && runs < caller.route.maxAttempts;
};

/** Result that ends a request whose deadline has passed. */
export const overdueResult = (
  progress: RequestProgress,
  verdict: Verdict = "not-run",
): RoundResult => {
  const worse = worseVerdict(progress.verdict, verdict);
  return { kind: "refused", failure: deadlineFailure(worse) };
};

/**
 * Builds the placement request for the scheduler. `domain`: failure domain of
 * this process; `unavailable`: engines that this process must not send to for
 * now.
 */
export const toPlacementRequest = (
  progress: RequestProgress,
  domain: string,
  unavailable: string[],
): PlacementRequest => {
  const { caller, avoid, grantId } = progress;
  const { prompt } = caller.head;
  const elapsedMs = caller.elapsedMs();
  const objectiveMs = caller.isResponseStarted
    ? caller.leftMs()
    : caller.route.objectiveMs - elapsedMs;
  const maxGapLeftMs = caller.isResponseStarted
    ? caller.leftMs()
    : caller.route.maxEventGapMs - elapsedMs;
  return {
    id: grantId,
    service: caller.service,
    route: caller.route.name,
    domain,
    workspace: caller.workspaceName,
    model: prompt?.model ?? "",
    promptTokens: prompt?.promptTokens ?? 0,
    outputTokens: prompt?.outputTokens ?? 0,
    mostOutputTokens: prompt?.mostOutputTokens ?? 0,
    parts: prompt?.parts ?? [],
    objectiveLeftMs: Math.min(objectiveMs, caller.leftMs()),
    deadlineLeftMs: Math.min(maxGapLeftMs, caller.leftMs()),
    answerLeftMs: caller.leftMs(),
    priority: caller.priority,
    isReturn: caller.isReturn || caller.head.resumption !== undefined,
    isWhole: progress.isWhole,
    avoid,
    unavailable,
    runnerVersion: progress.runnerVersion,
    stream: streamRefOf(caller),
  };
};

const streamRefOf = ({ head, route }: CallerRequest): StreamRef | undefined => {
  const { id, resumption } = head;
  if (resumption !== undefined)
    return { id: resumption.streamId, isResumed: true, soleVersion: undefined };
  if (!route.isResumable) return undefined;
  return { id, isResumed: false, soleVersion: undefined };
};
