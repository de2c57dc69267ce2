/**
 * Proves, for a stream that nobody has a record of, that only one software
 * version can have begun it. The list that this process follows may be older
 * than the stream: the connection to the store may be cut, or the process may
 * have stood still. So the list is read after the request has come.
 */
import { usualRetryMs } from "../scheduling/index.js";
import type { PlacementRequest, Refusal } from "../scheduling/index.js";
import type { LocalPlacement } from "./localPlacement.js";

/** Longest wait for the list, ms; another process may reach the store. */
const READ_TIMEOUT_MS = 500;

export interface StreamProverOptions {
  local: LocalPlacement;
  /** Reads the replica list anew; false if that failed. */
  readReplicas(): Promise<boolean>;
  now: () => number;
}

export type StreamProof =
  /** `request`: names the version, for the process that places it. */
  | { kind: "sole"; request: PlacementRequest }
  /** Several versions can have begun it. */
  | { kind: "several" }
  /** The list could not be read. */
  | { kind: "unread"; refusal: Refusal };

export class StreamProver {
  constructor(private readonly options: StreamProverOptions) {}

  async prove(request: PlacementRequest): Promise<StreamProof> {
    const { local, now } = this.options;
    const { service, stream, deadlineLeftMs } = request;
    if (stream === undefined || local.streams.hasSeveral(service))
      return { kind: "several" };
    const askedAt = now();
    if (!(await this.readInTime())) {
      const retryAfterMs = usualRetryMs(deadlineLeftMs);
      const why = "unknown-stream";
      return {
        kind: "unread",
        refusal: { kind: "refused", why, retryAfterMs },
      };
    }
    const soleVersion = local.streams.soleVersion(service);
    if (soleVersion === undefined) return { kind: "several" };
    const proven = { ...request, stream: { ...stream, soleVersion } };
    return { kind: "sole", request: laterBy(proven, now() - askedAt) };
  }

  private readInTime(): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), READ_TIMEOUT_MS);
      void this.options.readReplicas().then((isRead) => {
        clearTimeout(timer);
        resolve(isRead);
      });
    });
  }
}

/** The request after some time has passed. */
const laterBy = (request: PlacementRequest, ms: number): PlacementRequest => ({
  ...request,
  objectiveLeftMs: request.objectiveLeftMs - ms,
  deadlineLeftMs: request.deadlineLeftMs - ms,
  answerLeftMs: Math.max(0, request.answerLeftMs - ms),
});
