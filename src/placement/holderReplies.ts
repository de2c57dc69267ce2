/** Sends replies to entries and standbys with the lease holder's news. */
import type { ServerDuplexStream } from "@grpc/grpc-js";

import type { PlaceCall, PlaceReply } from "../gen/snowgate.js";
import type {
  PlacementAnswer,
  PrefillCost,
  Queued,
} from "../scheduling/index.js";
import { RateNewsFilter } from "../rateLimits/index.js";
import type { RateNews } from "../rateLimits/index.js";
import { RevisionFilter, revisionsToSend } from "../store/index.js";
import type { SeenRevision } from "../store/index.js";
import type { Log } from "../telemetry/index.js";
import type { LeaseVersion } from "./leaseKeeper.js";
import type { LocalPlacement } from "./localPlacement.js";
import { originBatches, toPlaceReply } from "./messages.js";
import type { HolderState } from "./messages.js";
import { toRateNews } from "./rateMessages.js";
import { toFlowShareNews } from "./shareMessages.js";
import { SharePublisher } from "./sharePublisher.js";

export type PlaceStream = ServerDuplexStream<PlaceCall, PlaceReply>;

export interface HolderRepliesOptions {
  placement: LocalPlacement;
  /** Whether that lease was renewed recently. */
  isFresh(service: string): boolean;
  /** That lease's version as this process last wrote it. */
  leaseVersion(service: string): LeaseVersion | undefined;
  /** Rate limits of replicas that are in force. */
  rates(): RateNews[];
  /** Entries that place through this process, including itself. */
  entryCount(service: string): number;
  /** The last changes in the store that this process has seen; absent: none. */
  seen?(): readonly SeenRevision[];
  log: Log;
}

export class HolderReplies {
  /** Prefill pace last sent to each stream. */
  private readonly sentPace = new WeakMap<
    PlaceStream,
    PrefillCost | undefined
  >();
  /** Filter of rate limits already sent, by stream. */
  private readonly rateFilters = new WeakMap<PlaceStream, RateNewsFilter>();
  /** Filter of store positions already sent, by stream. */
  private readonly revisionFilters = new WeakMap<PlaceStream, RevisionFilter>();
  /** Who has been sent all origins of streams, by service. */
  private readonly originReceivers = new Map<string, Set<PlaceStream>>();
  /** Shares by service. */
  private readonly publishers = new Map<string, SharePublisher<PlaceStream>>();

  constructor(private readonly options: HolderRepliesOptions) {}

  /** Sends an answer, or only news if the id is empty. */
  send(
    service: string,
    stream: PlaceStream,
    id: string,
    answer: PlacementAnswer | Queued | undefined,
    extra: Partial<PlaceReply> = {},
  ): void {
    const reply = toPlaceReply(id, answer, this.state(service, stream, 0));
    const news = this.publishers.get(service)?.takeNews(stream);
    if (news !== undefined) {
      reply.shares = news.shares.map(toFlowShareNews);
      reply.sharesRevision = news.revision;
    }
    stream.write(Object.assign(reply, extra));
  }

  state(
    service: string,
    stream: PlaceStream,
    standbyRank: number,
  ): HolderState {
    const { epoch = 0, beat = 0 } = this.options.leaseVersion(service) ?? {};
    return {
      entries: this.options.entryCount(service),
      isFresh: this.options.isFresh(service),
      standbyRank,
      readPace: this.paceUpdate(service, stream),
      leaseEpoch: epoch,
      leaseBeat: beat,
    };
  }

  /** Rate limits that the stream has not been sent yet. */
  rateUpdates(stream: PlaceStream): PlaceReply["rates"] {
    const filter = this.rateFilters.get(stream) ?? new RateNewsFilter();
    this.rateFilters.set(stream, filter);
    return filter.selectUpdates(this.options.rates()).map(toRateNews);
  }

  /**
   * Sends origins of streams: all of them to who was not a receiver before, the
   * news to the others. Where one version alone serves nobody asks for them.
   * Returns how many were sent.
   */
  sendOrigins(service: string, receivers: readonly PlaceStream[]): number {
    const { streams } = this.options.placement;
    const before = this.originReceivers.get(service) ?? new Set();
    const current = new Set(streams.hasSeveral(service) ? receivers : []);
    this.originReceivers.set(service, current);
    if (current.size === 0) {
      streams.dropNews(service);
      return 0;
    }
    const news = streams.takeNews(service);
    let sent = 0;
    for (const stream of current) {
      const origins = before.has(stream) ? news : streams.origins(service);
      sent += origins.length;
      for (const batch of originBatches(origins))
        this.send(service, stream, "", undefined, { origins: batch });
    }
    return sent;
  }

  /** What this process has seen of the store, where entries use it. */
  revisions(service: string): readonly SeenRevision[] {
    const { isFresh, entryCount, seen } = this.options;
    return revisionsToSend({
      isFresh: isFresh(service),
      entries: entryCount(service),
      seen: seen?.() ?? [],
    });
  }

  /** Those that the stream has to be sent now. */
  revisionUpdates(
    stream: PlaceStream,
    seen: readonly SeenRevision[],
  ): SeenRevision[] {
    const filter = this.revisionFilters.get(stream) ?? new RevisionFilter();
    this.revisionFilters.set(stream, filter);
    return filter.selectUpdates(seen, this.options.placement.now);
  }

  /** The entry has sent a request, or counts of refused ones. */
  recordAsk(service: string, stream: PlaceStream): void {
    const publisher = this.publishers.get(service) ?? new SharePublisher();
    this.publishers.set(service, publisher);
    publisher.recordAsk(stream, this.options.placement.now);
  }

  /** Sends shares to the entries that ask and have not got the current set. */
  publishShares(): void {
    const { placement, log } = this.options;
    const { now } = placement;
    for (const [service, publisher] of this.publishers) {
      const hasChanged = publisher.refresh(now, () =>
        placement.shares(service),
      );
      if (hasChanged && publisher.isLimited) {
        const { limitedFlows: flows } = publisher;
        log.info("admission shares in force", { service, flows });
      } else if (hasChanged) log.info("admission shares ended", { service });
      for (const stream of publisher.subscribed(now))
        if (publisher.hasNews(stream))
          this.send(service, stream, "", undefined);
    }
  }

  remove(service: string, stream: PlaceStream): void {
    this.publishers.get(service)?.remove(stream);
  }

  /**
   * The measured prefill pace, if it has changed since it was sent to the
   * stream.
   */
  private paceUpdate(
    service: string,
    stream: PlaceStream,
  ): PrefillCost | undefined {
    const { learnedCost: cost } =
      this.options.placement.scheduler(service).prefillModel;
    if (cost === this.sentPace.get(stream)) return undefined;
    this.sentPace.set(stream, cost);
    return cost;
  }
}
