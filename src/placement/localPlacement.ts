/** Places requests with this process's own schedulers, one per service. */
import { EngineScheduler } from "../scheduling/index.js";
import type {
  EngineView,
  FlowRefusals,
  FlowShare,
  Grant,
  HeldPart,
  PlacementAnswer,
  PlacementRequest,
  PlacementEvent,
  Queued,
} from "../scheduling/index.js";
import type { EnginePermits } from "../rateLimits/index.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { ContentionLog } from "./contentionLog.js";
import { refuseUnknownStream, withBinding } from "./streamVersions.js";
import type { StreamBinding, StreamVersions } from "./streamVersions.js";
import type { Placement } from "./types.js";

export interface LocalPlacementOptions {
  /** The engines of a service that may get new work. */
  engines(service: string): readonly EngineView[];
  /**
   * Number of processes that place on the same engines without coordination.
   */
  sharingProcesses(service: string): number;
  permits: EnginePermits;
  /** Software versions that may go on with resumed streams. */
  streams: StreamVersions;
  /** Whether other processes may yet tell of streams that they relayed. */
  mayBeTold(service: string): boolean;
  metrics?: Metrics;
  log: Log;
  now: () => number;
}

/** Called with the answer to a queued request. */
type AnswerCallback = (answer: PlacementAnswer) => void;

interface QueuedAsk {
  request: PlacementRequest;
  binding: StreamBinding;
  onAnswer: AnswerCallback;
}

/**
 * Interval at which free engines are looked for while requests are queued, ms.
 * Work is assigned far enough ahead that engines don't idle in between; looking
 * at each report on a request would take most of the holder's processor time
 * under a burst.
 */
const SETTLE_INTERVAL_MS = 5;

export class LocalPlacement implements Placement {
  private readonly schedulers = new Map<string, EngineScheduler>();
  /** By request id. */
  private readonly queued = new Map<string, QueuedAsk>();
  private timer: NodeJS.Timeout | undefined;
  /** When free engines were last looked for, ms. */
  private settledAt = -Infinity;

  private readonly contentionLog: ContentionLog;

  constructor(private readonly options: LocalPlacementOptions) {
    this.contentionLog = new ContentionLog(options.log);
  }

  place(request: PlacementRequest): Promise<PlacementAnswer> {
    return new Promise((resolve) => {
      const answer = this.placeNow(request, resolve);
      if (answer.kind !== "queued") resolve(answer);
    });
  }

  /**
   * Like `place`, without waiting; `onAnswer` is called if the request is
   * queued.
   */
  placeNow(
    request: PlacementRequest,
    onAnswer: AnswerCallback,
  ): PlacementAnswer | Queued {
    this.refresh(request.service);
    return this.placeInTurn(request, onAnswer);
  }

  /**
   * Prepares the service's scheduler for the requests of one turn. Where this
   * process is too busy to answer queued requests in time, they are answered
   * before new ones are admitted.
   */
  beginTurn(service: string): void {
    const scheduler = this.refresh(service);
    const now = this.options.now();
    const isOverdue = now - this.settledAt >= 2 * SETTLE_INTERVAL_MS;
    if (this.timer === undefined || !isOverdue) return;
    this.settledAt = now;
    this.settle(service, scheduler);
  }

  /** Like `placeNow`, in a turn that has begun. */
  placeInTurn(
    request: PlacementRequest,
    onAnswer: AnswerCallback,
  ): PlacementAnswer | Queued {
    const { streams } = this.options;
    const binding = streams.binding(request);
    if (binding.kind === "unknown") {
      const mayBeTold = this.options.mayBeTold(request.service);
      return refuseUnknownStream(request, mayBeTold);
    }
    const bound = withBinding(request, binding);
    const scheduler = this.scheduler(request.service);
    const answer = scheduler.place(bound, this.options.now());
    this.countOverShare(request.service, answer);
    if (answer.kind === "granted")
      return this.recordGrant(bound, binding, answer);
    if (answer.kind === "queued") {
      this.queued.set(request.id, { request: bound, binding, onAnswer });
      if (this.timer === undefined) {
        this.settledAt = this.options.now();
        this.timer = setTimeout(() => this.onTime(), SETTLE_INTERVAL_MS);
      }
    }
    return answer;
  }

  /**
   * Takes over a grant given by another scheduler; `isRead`: an engine has
   * already prefilled its prompt.
   */
  adopt(request: PlacementRequest, grant: Grant, isRead = false): void {
    const scheduler = this.refresh(request.service);
    scheduler.adoptGrant(request, grant, isRead, this.options.now());
    this.recordOrigin(request, grant);
  }

  private recordOrigin(request: PlacementRequest, { runner }: Grant): void {
    const version = this.softwareVersionOf(request.service, runner);
    this.options.streams.recordGrant(request, version);
  }

  private recordGrant(
    request: PlacementRequest,
    binding: StreamBinding,
    grant: Grant,
  ): Grant {
    this.recordOrigin(request, grant);
    return binding.kind === "bound" ? { ...grant, origin: binding } : grant;
  }

  /** Records the prompt parts that an engine reports as cached. */
  recordCachedParts(
    service: string,
    engine: string,
    held: readonly HeldPart[],
  ): void {
    this.refresh(service).recordCachedParts(engine, held);
  }

  reportEvent(service: string, event: PlacementEvent): void {
    const scheduler = this.scheduler(service);
    scheduler.onEvent(event, this.options.now());
    if (event.kind === "ended") this.queued.delete(event.id);
  }

  /** Cancels a request; its callback is not called any more. */
  cancel(service: string, id: string): void {
    this.reportEvent(service, { kind: "ended", id, ok: true, firstEventMs: 0 });
  }

  /** The service's scheduler, updated with the current engines. */
  refresh(service: string): EngineScheduler {
    const scheduler = this.scheduler(service);
    scheduler.setEngines(this.options.engines(service));
    return scheduler;
  }

  scheduler(service: string): EngineScheduler {
    const known = this.schedulers.get(service);
    if (known !== undefined) return known;
    const share = () => this.options.sharingProcesses(service);
    const fresh = new EngineScheduler(share, this.options.permits);
    this.schedulers.set(service, fresh);
    return fresh;
  }

  /** Undefined if the engine is not listed, or its version not known. */
  softwareVersionOf(service: string, engine: string): string | undefined {
    const listed = this.options.engines(service);
    return listed.find(({ id }) => id === engine)?.softwareVersion;
  }

  /** Decode engines that may get work, as `VERSION: COUNT`, for the log. */
  decodeEngines(service: string): string {
    const counts = new Map<string, number>();
    for (const { stage, softwareVersion = "" } of this.options.engines(service))
      if (stage === "decode")
        counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1);
    return [...counts].map(([name, count]) => `${name}: ${count}`).join(", ");
  }

  get now(): number {
    return this.options.now();
  }

  get streams(): StreamVersions {
    return this.options.streams;
  }

  /** Shares of the flows of a service; empty without contention. */
  shares(service: string): FlowShare[] {
    return this.scheduler(service).shares(this.options.now());
  }

  /** Counts requests of a service that an entry refused by its shares. */
  recordRefused(service: string, refused: FlowRefusals): void {
    const scheduler = this.scheduler(service);
    scheduler.recordRefusedElsewhere(refused, this.options.now());
  }

  /** Drops runs whose end was never reported, and logs contention. */
  expire(): void {
    const { log, now, streams } = this.options;
    streams.expire();
    for (const [service, scheduler] of this.schedulers) {
      const runs = scheduler.expire(now());
      if (runs > 0)
        log.warn("runs dropped, end never reported", { service, runs });
      this.contentionLog.update(service, scheduler.shares(now()));
    }
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private onTime(): void {
    this.timer = undefined;
    this.settledAt = this.options.now();
    for (const service of this.schedulers.keys()) {
      this.settle(service, this.refresh(service));
    }
    if (this.queued.size === 0) return;
    this.timer = setTimeout(() => this.onTime(), SETTLE_INTERVAL_MS);
  }

  private settle(service: string, scheduler: EngineScheduler): void {
    for (const { id, answer } of scheduler.answerQueued(this.options.now())) {
      this.countOverShare(service, answer);
      const ask = this.queued.get(id);
      this.queued.delete(id);
      if (ask === undefined) continue;
      const { request, binding, onAnswer } = ask;
      const isGranted = answer.kind === "granted";
      onAnswer(isGranted ? this.recordGrant(request, binding, answer) : answer);
    }
  }

  /** Refusals by share that the entry could not make itself. */
  private countOverShare(
    service: string,
    answer: PlacementAnswer | Queued,
  ): void {
    if (answer.kind !== "refused" || answer.why !== "over-share") return;
    this.options.metrics?.count("scheduler_over_share", { service });
  }
}
