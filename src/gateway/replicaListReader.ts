/**
 * Reads the replica list beside the watch that follows it, to know the software
 * versions of all replicas that the store has listed up to now: the watch may
 * not have been told of some, as its connection may be dead.
 */
import type { FeedItem, ObjectFeed } from "../store/index.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import type { GatewaySource } from "./gatewayState.js";

/** Wait of a call for the changes that are there already, ms. */
const NO_WAIT_MS = 1;

export interface ReplicaListReaderOptions {
  feed: ObjectFeed;
  source: Pick<GatewaySource, "replicaKind" | "decodeReplica">;
  /** Store position of the list that is followed; undefined if none is. */
  position(): number | undefined;
  /** Called for each replica that the store lists, or listed since. */
  onListed(service: string, version: string): void;
  log: Log;
}

export class ReplicaListReader {
  private current: Promise<boolean> | undefined;
  private following: Promise<boolean> | undefined;

  constructor(private readonly options: ReplicaListReaderOptions) {}

  /**
   * Calls that come during a read share the next one. Resolves with false if
   * the store did not answer, or no longer knows all changes.
   */
  read(): Promise<boolean> {
    if (this.current === undefined) return this.begin();
    this.following ??= this.current.then(() => this.begin());
    return this.following;
  }

  private begin(): Promise<boolean> {
    this.following = undefined;
    this.current = this.readOnce();
    return this.current;
  }

  private async readOnce(): Promise<boolean> {
    const { feed, source, position, log } = this.options;
    const { replicaKind: kind } = source;
    try {
      const from = position();
      if (from === undefined) return false;
      // First what has come and gone, which the list does not show.
      const news = await feed.changes(kind, from, NO_WAIT_MS);
      if (news.kind !== "changes") return false;
      for (const { item } of news.changes) this.note(item);
      const { items } = await feed.list(kind);
      for (const item of items) this.note(item);
      return true;
    } catch (err) {
      log.warn("replica list not read", { why: errText(err) });
      return false;
    } finally {
      this.current = undefined;
    }
  }

  /** No process uses a replica whose entry can't be decoded. */
  private note({ name, value }: FeedItem): void {
    try {
      const replica = this.options.source.decodeReplica(name, value);
      this.options.onListed(replica.service, replica.softwareVersion ?? "");
    } catch (err) {
      this.options.log.debug("replica left out", { why: errText(err) });
    }
  }
}
