/**
 * What a gateway knows: the configuration in force and the replicas. Both
 * come from the store; a configuration never goes back to an older one.
 */
import type { EngineView } from "../scheduling/index.js";
import type { FeedChange, FeedItem } from "../store/index.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import { ConfigFreshness } from "../workspaces/index.js";
import type { ConfigNews } from "../workspaces/index.js";
import { ReplicaSet } from "./replicaSet.js";
import type { ReplicaChange } from "./replicaSet.js";
import { RouteTable } from "./routeTable.js";
import type { GatewayConfig, GatewayService, Replica } from "./types.js";

/** How stored objects become configurations and replicas. */
export interface GatewaySource {
  /** Kind and name of the configuration. */
  configKind: string;
  configName: string;
  replicaKind: string;
  /** Throws `InvalidInputError` where the value can't be used. */
  decodeConfig(value: unknown): GatewayConfig;
  decodeReplica(id: string, value: unknown): Replica;
}

/** Of a name or a cause in a log line; other writers may write 1 MB. */
const MAX_LOGGED_CHARS = 200;

/** A list of engines and what it was made from. */
interface EngineList {
  table: RouteTable | undefined;
  /** Of the set of replicas. */
  revision: number;
  /** Instant from which it has to be made anew, ms. */
  until: number;
  engines: readonly EngineView[];
}

export class GatewayState {
  readonly replicas: ReplicaSet;
  private readonly freshness = new ConfigFreshness();
  private table: RouteTable | undefined;
  /** The stored object of the configuration in force. */
  private configItem: FeedItem | undefined;
  /**
   * The store's newest one could not be read, or is older than the one held:
   * the one held is not proven.
   */
  private isConfigBehind = false;
  private hasReplicas = false;
  /** Told of each object that can't be read, by what it should be. */
  onUnreadable: (what: string) => void = () => undefined;
  /** Told of what lies beside the configuration in the store. */
  onStatus: (status: unknown) => void = () => undefined;
  /** Told of each replica that the list has lost. */
  onGone: (replica: Replica) => void = () => undefined;
  private readonly engineLists = new Map<string, EngineList>();

  constructor(
    private readonly source: GatewaySource,
    private readonly log: Log,
    private readonly now: () => number,
    /** For the age of proofs; see `newLeaseClock`. */
    private readonly leaseNow: () => number,
    private readonly onConfig: (config: GatewayConfig) => void,
    /** See `ReplicaSet`. */
    lastResortMs = 0,
  ) {
    this.replicas = new ReplicaSet(lastResortMs);
  }

  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** Knows a configuration and follows the list of replicas. */
  get isReady(): boolean {
    return this.table !== undefined && this.hasReplicas;
  }

  onConfigItem(item: FeedItem): void {
    if (item.name !== this.source.configName) return;
    // The same revision may have come from a process that tells no status.
    const isCurrent = item.revision >= this.configRevision;
    if (item.status !== undefined && isCurrent) this.onStatus(item.status);
    const config = this.decode("configuration", item, () =>
      this.source.decodeConfig(item.value),
    );
    this.isConfigBehind = config === undefined;
    if (config === undefined) return;
    const known = this.table?.version;
    if (known !== undefined && config.version <= known) {
      if (config.version === known) {
        if (isCurrent) this.configItem = item;
        return;
      }
      // A store that has come back from a copy can't prove what is newest.
      this.isConfigBehind = true;
      const fields = { known, offered: config.version };
      this.log.warn("older configuration ignored", fields);
      return;
    }
    this.table = new RouteTable(config);
    this.configItem = item;
    const { version, routes, services } = config;
    this.replicas.setServices(services.map(({ name }) => name));
    this.log.info("configuration in force", { version, routes: routes.length });
    this.onConfig(config);
  }

  /** What is held was the store's newest configuration at that instant. */
  onConfigProven(asOf: number): void {
    if (this.isConfigBehind || this.table === undefined) return;
    this.freshness.prove(asOf);
  }

  /** Age of the proof that the configuration is the newest, ms. */
  get proofAgeMs(): number {
    return this.freshness.ageMs(this.leaseNow());
  }

  /** The stored object of the configuration in force. */
  get storedConfig(): FeedItem | undefined {
    return this.configItem;
  }

  /** Revision of the configuration that is held; 0: none. */
  get configRevision(): number {
    return this.configItem?.revision ?? 0;
  }

  /** For a process that holds revision `known`; undefined: nothing proven. */
  configNews(known: number): ConfigNews | undefined {
    const ageMs = this.proofAgeMs;
    if (this.configItem === undefined || !Number.isFinite(ageMs)) return;
    const { revision, value } = this.configItem;
    return { revision, ageMs, value: known === revision ? undefined : value };
  }

  /** Another process answered so to a question that was sent at `sentAt`. */
  onConfigNews({ revision, ageMs, value }: ConfigNews, sentAt: number): void {
    if (revision < this.configRevision) return;
    const { configName: name } = this.source;
    if (revision > this.configRevision) {
      if (value === undefined) return;
      this.onConfigItem({ name, revision, value });
    }
    this.onConfigProven(sentAt - ageMs);
  }

  onReplicaList(items: readonly FeedItem[], inTrouble: boolean): void {
    const listed = items.flatMap((item) => {
      const replica = this.readReplica(item);
      return replica === undefined
        ? []
        : [{ replica, revision: item.revision }];
    });
    const changes = this.replicas.replace(listed, this.now(), inTrouble);
    this.logChanges(changes);
    this.hasReplicas = true;
  }

  /** The replicas are not followed any more. */
  onReplicasStale(): void {
    this.hasReplicas = false;
  }

  onReplicaChange(change: FeedChange, inTrouble: boolean): void {
    const { item, isRemoved } = change;
    if (isRemoved) {
      const gone = this.replicas.remove(item.name, this.now(), inTrouble);
      if (gone !== undefined) this.logChanges([gone]);
      return;
    }
    const replica = this.readReplica(item);
    if (replica === undefined) return;
    const changes = this.replicas.put(replica, item.revision, this.now());
    this.logChanges(changes);
  }

  /** Gives up replicas that vanished and did not come back. */
  expire(): void {
    this.logChanges(this.replicas.removeExpired(this.now()));
  }

  services(): readonly GatewayService[] {
    return this.table?.config.services ?? [];
  }

  /** Services that have engines. */
  engineServices(): string[] {
    return this.services().flatMap(({ name, engine }) =>
      engine ? [name] : [],
    );
  }

  /**
   * The engines of a service that may get new work; the same list until it
   * changes, since each request asks for it.
   */
  engines(service: string): readonly EngineView[] {
    const { table, replicas } = this;
    const now = this.now();
    const kept = this.engineLists.get(service);
    const isKept =
      kept?.table === table &&
      kept?.revision === replicas.revision &&
      now < kept.until;
    if (isKept) return kept.engines;
    const engines = this.listEngines(service, now);
    const { revision } = replicas;
    const until = replicas.usableUntil(now);
    this.engineLists.set(service, { table, revision, until, engines });
    return engines;
  }

  private listEngines(service: string, now: number): EngineView[] {
    const sizes = this.table?.service(service)?.engine;
    if (sizes === undefined) return [];
    const usable = this.replicas.usable(service, now);
    // Where engines have stages, an entry without one is another writer's.
    const hasStages = usable.some(({ stage }) => stage !== undefined);
    const engines = usable.filter(({ stage }) => !hasStages || stage);
    return engines.map((replica) => ({
      id: replica.id,
      domain: replica.domain,
      stage: replica.stage ?? "decode",
      slots: sizes.slots,
      kvCapacityTokens: sizes.kvCapacityTokens,
    }));
  }

  /** An entry that can't be read names no replica, nor the one of before. */
  private readReplica(item: FeedItem): Replica | undefined {
    const replica = this.decode("replica", item, () =>
      this.source.decodeReplica(item.name, item.value),
    );
    if (replica !== undefined) return replica;
    const gone = this.replicas.drop(item.name);
    if (gone !== undefined) this.logChanges([gone]);
    return undefined;
  }

  /** What can't be decoded is logged, and the last good state kept. */
  private decode<T>(
    what: string,
    item: FeedItem,
    read: () => T,
  ): T | undefined {
    try {
      return read();
    } catch (err) {
      this.onUnreadable(what);
      this.log.error(`${what} can't be read`, {
        name: item.name.slice(0, MAX_LOGGED_CHARS),
        revision: item.revision,
        why: errText(err).slice(0, MAX_LOGGED_CHARS),
      });
      return undefined;
    }
  }

  private logChanges(changes: readonly ReplicaChange[]): void {
    for (const { kind, replica } of changes) {
      if (kind === "gone") this.onGone(replica);
      this.log.info(`replica ${kind}`, {
        replica: replica.id,
        service: replica.service,
        address: replica.address,
        state: replica.state,
        stage: replica.stage,
      });
    }
  }
}
