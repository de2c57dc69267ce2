/**
 * Decides which software version may go on with a stream that a caller takes up
 * again, from what is known of its origin and of the versions in service. No
 * I/O; times are ms.
 */
import { usualRetryMs } from "../scheduling/index.js";
import type {
  OriginSource,
  PlacementRequest,
  Refusal,
} from "../scheduling/index.js";
import { StreamOrigins } from "./streamOrigins.js";
import type { StreamOrigin } from "./streamOrigins.js";
import { VersionHistory } from "./versionHistory.js";

/** How long after the end of its time a stream may still be taken up. */
const RETURN_MS = 10_000;

export interface StreamVersionsOptions {
  /** Software versions of all listed replicas; empty text: not known. */
  listedVersions(service: string): readonly string[];
  /** How long one answer of the service may last. */
  maxAnswerMs(service: string): number;
  now: () => number;
}

/** Streams of one service. */
interface ServiceStreams {
  origins: StreamOrigins;
  history: VersionHistory;
}

/** The version that may go on with a stream, and how it was found. */
export type StreamBinding =
  /** Any version: no event has been sent, or it can't be taken up. */
  | { kind: "free" }
  | { kind: "bound"; version: string; source: OriginSource }
  | { kind: "unknown" };

export const withBinding = (
  request: PlacementRequest,
  binding: StreamBinding,
): PlacementRequest =>
  binding.kind === "bound"
    ? { ...request, runnerVersion: binding.version }
    : request;

/** Whether a stream goes on whose version the request does not name. */
export const isUnboundResumption = ({
  runnerVersion,
  stream,
}: PlacementRequest): boolean =>
  runnerVersion === undefined && stream?.isResumed === true;

/** Names a stream within its service; workspaces may use the same ids. */
const streamKey = (workspace: string, id: string): string =>
  `${workspace}\n${id}`;

const keyOf = ({ workspace, stream }: PlacementRequest): string | undefined =>
  stream?.id === undefined ? undefined : streamKey(workspace, stream.id);

export class StreamVersions {
  private readonly services = new Map<string, ServiceStreams>();

  constructor(private readonly options: StreamVersionsOptions) {}

  /**
   * The binding of a stream that this process has relayed; `free` if it has not.
   * What others told it may be older than what the holder knows.
   */
  ownBinding(request: PlacementRequest): StreamBinding {
    const key = keyOf(request);
    const { origins } = this.streamsOf(request.service);
    const isOwn = key !== undefined && origins.isOwn(key);
    return isOwn ? this.recordedBinding(request) : { kind: "free" };
  }

  /**
   * The binding by all that this process knows. A stream that is not recorded
   * began at the only version in service, if no other has served while it can
   * have begun.
   */
  binding(request: PlacementRequest): StreamBinding {
    const { service, stream } = request;
    if (!isUnboundResumption(request)) return { kind: "free" };
    const recorded = this.recordedBinding(request);
    if (recorded.kind === "bound") return recorded;
    this.observe(service);
    const { history } = this.streamsOf(service);
    const { onlyListed } = history;
    const isSeenBySender =
      onlyListed !== undefined && onlyListed === stream?.soleVersion;
    const version =
      this.soleVersion(service) ??
      (isSeenBySender && !this.hasSeveral(service) ? onlyListed : undefined);
    // A replica whose version is not known may be of any.
    if (version === undefined || version === "") return { kind: "unknown" };
    return { kind: "bound", version, source: "sole-version" };
  }

  /**
   * The only version that has served for as long as a stream can last;
   * undefined if there were several, or this process has not seen so much.
   */
  soleVersion(service: string): string | undefined {
    this.observe(service);
    const { history } = this.streamsOf(service);
    return history.soleVersion(this.spanMs(service), this.options.now());
  }

  /** Whether several versions served while a stream of now can have begun. */
  hasSeveral(service: string): boolean {
    this.observe(service);
    const { history } = this.streamsOf(service);
    return history.hasSeveral(this.spanMs(service), this.options.now());
  }

  /** Records which version the engine of a grant runs, if it is known. */
  recordGrant(request: PlacementRequest, version: string | undefined): void {
    const key = keyOf(request);
    if (key === undefined || version === undefined) return;
    const keepMs = request.answerLeftMs + RETURN_MS;
    const { origins } = this.streamsOf(request.service);
    origins.record({ key, version, keepMs }, this.options.now(), true);
  }

  /** Records origins that an entry reports, which relayed the streams itself. */
  adoptFromEntry(service: string, received: readonly StreamOrigin[]): void {
    const { origins } = this.streamsOf(service);
    for (const origin of received) origins.record(origin, this.options.now());
  }

  /**
   * Records origins that the holder knows. Of streams that this process relays
   * it may know a grant that was not used.
   */
  adoptFromHolder(service: string, received: readonly StreamOrigin[]): void {
    const { origins } = this.streamsOf(service);
    const others = received.filter(({ key }) => !origins.isOwn(key));
    this.adoptFromEntry(service, others);
  }

  origins(service: string): StreamOrigin[] {
    return this.streamsOf(service).origins.all(this.options.now());
  }

  /** Those of streams that this process relays or relayed. */
  ownOrigins(service: string): StreamOrigin[] {
    return this.streamsOf(service).origins.own(this.options.now());
  }

  /** Origins recorded since the last call. */
  takeNews(service: string): StreamOrigin[] {
    return this.streamsOf(service).origins.takeNews(this.options.now());
  }

  /** Nobody is to be told of what was recorded so far. */
  dropNews(service: string): void {
    this.streamsOf(service).origins.dropNews();
  }

  /** Drops origins that nobody asks for any more, and looks at the list. */
  expire(): void {
    for (const [service, { origins }] of this.services) {
      origins.expire(this.options.now());
      this.observe(service);
    }
  }

  private recordedBinding(request: PlacementRequest): StreamBinding {
    const key = keyOf(request);
    const { origins } = this.streamsOf(request.service);
    const version = key && origins.find(key, this.options.now());
    return version === undefined || !isUnboundResumption(request)
      ? { kind: "free" }
      : { kind: "bound", version, source: "record" };
  }

  private observe(service: string): void {
    const { listedVersions, now } = this.options;
    const versions = [...new Set(listedVersions(service))];
    this.streamsOf(service).history.observe(versions, now());
  }

  private spanMs(service: string): number {
    return this.options.maxAnswerMs(service) + RETURN_MS;
  }

  private streamsOf(service: string): ServiceStreams {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const fresh = {
      origins: new StreamOrigins(),
      history: new VersionHistory(),
    };
    this.services.set(service, fresh);
    return fresh;
  }
}

/**
 * The refusal of a stream whose origin is not known. `mayBeTold`: another
 * process may yet tell of streams; otherwise coming back is in vain, as it is
 * where the stream isn't named.
 */
export const refuseUnknownStream = (
  { deadlineLeftMs, stream }: PlacementRequest,
  mayBeTold: boolean,
): Refusal => {
  const mayBeKnown = mayBeTold && stream?.id !== undefined;
  const retryAfterMs = mayBeKnown ? usualRetryMs(deadlineLeftMs) : 0;
  return { kind: "refused", why: "unknown-stream", retryAfterMs };
};
