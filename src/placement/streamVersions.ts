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
  SoleVersion,
} from "../scheduling/index.js";
import { StreamOrigins } from "./streamOrigins.js";
import type { StreamOrigin } from "./streamOrigins.js";
import { VersionHistory } from "./versionHistory.js";

/** How long after the end of its time a stream may still be taken up. */
const RETURN_MS = 10_000;

export interface StreamVersionsOptions {
  /** Software versions of all listed replicas; empty text: not known. */
  listedVersions(service: string): readonly string[];
  /** How long this process has followed the list without a gap, ms. */
  watchedMs(): number;
  /** Age of the state that the followed list is known to reflect, ms. */
  listAgeMs(): number;
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
   * have begun. The sender of the request must have read the list since: what
   * this process follows may lag behind the process that began the stream.
   */
  binding(request: PlacementRequest): StreamBinding {
    const { service, stream } = request;
    if (!isUnboundResumption(request)) return { kind: "free" };
    const recorded = this.recordedBinding(request);
    if (recorded.kind === "bound") return recorded;
    const told = stream?.soleVersion;
    const known = this.soleVersion(service);
    const isSole = told !== undefined && told.version === known?.version;
    // A replica whose version is not known may be of any.
    if (!isSole || told.version === "" || !this.coversSpan(service, told))
      return { kind: "unknown" };
    return { kind: "bound", version: told.version, source: "sole-version" };
  }

  /**
   * Whether no other version can have served while a stream of now can have
   * begun: by the sender's list, or by this process's own one up to an instant
   * since when the sender has followed it.
   */
  private coversSpan(service: string, told: SoleVersion): boolean {
    const { watchedMs, listAgeMs } = this.options;
    const spanMs = this.spanMs(service);
    if (told.forMs >= spanMs) return true;
    return watchedMs() >= spanMs && listAgeMs() <= told.forMs;
  }

  /**
   * The only version that this process knows to have served while a stream of
   * now can have begun, and for how long it has followed the list.
   */
  soleVersion(service: string): SoleVersion | undefined {
    this.observe(service);
    const { history } = this.streamsOf(service);
    const version = history.only(this.spanMs(service), this.options.now());
    if (version === undefined) return undefined;
    return { version, forMs: this.options.watchedMs() };
  }

  /** Versions that the store lists, or listed since the state known here. */
  noteListed(service: string, versions: readonly string[]): void {
    const { history } = this.streamsOf(service);
    history.note(versions, this.options.now());
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

  /** Looks at the list, which has changed. */
  observe(service: string): void {
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
