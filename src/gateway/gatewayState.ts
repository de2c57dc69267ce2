/**
 * The gateway's view of the store: the active configuration and the replicas.
 * The configuration is never replaced by an older one.
 */
import type { EngineView } from "../scheduling/index.js";
import type { FeedChange, FeedItem, StoreStability } from "../store/index.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import { ConfigFreshness } from "../workspaces/index.js";
import type { ConfigNews } from "../workspaces/index.js";
import { ListFreshness } from "./listFreshness.js";
import { ReplicaSet } from "./replicaSet.js";
import type { ReplicaChange, ReplicaSetOptions } from "./replicaSet.js";
import { RouteTable } from "./routeTable.js";
import type { GatewayConfig, GatewayService, Replica } from "./types.js";

/** Which stored objects are configurations and replicas, and their decoders. */
export interface GatewaySource {
  /** Kind and name of the configuration. */
  configKind: string;
  configName: string;
  replicaKind: string;
  /** Throws `InvalidInputError` where the value can't be used. */
  decodeConfig(value: unknown): GatewayConfig;
  decodeReplica(id: string, value: unknown): Replica;
}

/** Limit on names and error texts in log lines; stored ones may be 1 MB. */
const MAX_LOGGED_CHARS = 200;

/** How a configuration reached this process; `write`: with its own write. */
type ConfigOrigin = "list" | "change" | "write" | "holder";

/** A cached list of engines and the inputs that it was built from. */
interface EngineList {
  table: RouteTable | undefined;
  /** Revision of the replica set. */
  revision: number;
  /** When the list expires, ms. */
  until: number;
  engines: readonly EngineView[];
}

export class GatewayState {
  readonly replicas: ReplicaSet;
  readonly replicaList: ListFreshness;
  private readonly freshness = new ConfigFreshness();
  private table: RouteTable | undefined;
  /** The stored object of the active configuration. */
  private configItem: FeedItem | undefined;
  /**
   * Whether the store's newest configuration could not be decoded, or is older
   * than the active one. The active one is then not proven to be the newest.
   */
  private isConfigUnproven = false;
  private hasReplicas = false;
  /** Called for each object that can't be decoded, with its expected kind. */
  onUnreadable: (what: string) => void = () => undefined;
  /** Called with the status that is stored next to the configuration. */
  onStatus: (status: unknown) => void = () => undefined;
  /** Called after each change to the replicas of a service. */
  onReplicasChanged: (service: string) => void = () => undefined;
  /** Called for each replica removed from the list. */
  onGone: (replica: Replica) => void = () => undefined;
  private readonly engineListCache = new Map<string, EngineList>();

  constructor(
    private readonly source: GatewaySource,
    private readonly log: Log,
    private readonly now: () => number,
    /** Clock for the age of proofs; see `newLeaseClock`. */
    private readonly leaseNow: () => number,
    private readonly onConfig: (config: GatewayConfig) => void,
    replicaSet: ReplicaSetOptions = {},
  ) {
    this.replicas = new ReplicaSet(replicaSet);
    this.replicaList = new ListFreshness(leaseNow);
  }

  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** Whether a configuration is active and the replica list is watched. */
  get isReady(): boolean {
    return this.table !== undefined && this.hasReplicas;
  }

  onConfigItem(item: FeedItem, origin: ConfigOrigin): void {
    if (item.name !== this.source.configName) return;
    // The known revision may be from a peer, which sends no status.
    const isCurrent = item.revision >= this.configRevision;
    if (item.status !== undefined && isCurrent) this.onStatus(item.status);
    const config = this.decode("configuration", item, () =>
      this.source.decodeConfig(item.value),
    );
    this.isConfigUnproven = config === undefined;
    if (config === undefined) return;
    const known = this.table?.version;
    if (known !== undefined && config.version <= known) {
      if (config.version === known) {
        if (isCurrent) this.configItem = item;
        return;
      }
      // A store restored from a backup can't prove which one is the newest.
      this.isConfigUnproven = true;
      const fields = { known, offered: config.version };
      this.log.warn("older configuration ignored", fields);
      return;
    }
    this.table = new RouteTable(config);
    this.configItem = item;
    const { version, routes, services } = config;
    this.replicas.setServices(services.map(({ name }) => name));
    const fields = { version, routes: routes.length, origin };
    this.log.info("configuration in force", fields);
    this.onConfig(config);
  }

  /** The active configuration was the store's newest one at time `asOf`. */
  onConfigProven(asOf: number): void {
    if (this.isConfigUnproven || this.table === undefined) return;
    this.freshness.prove(asOf);
  }

  /** Age of the proof that the active configuration is the newest, ms. */
  get proofAgeMs(): number {
    return this.freshness.ageMs(this.leaseNow());
  }

  /** The stored object of the active configuration. */
  get storedConfig(): FeedItem | undefined {
    return this.configItem;
  }

  /** Store revision of the active configuration; 0 if there is none. */
  get configRevision(): number {
    return this.configItem?.revision ?? 0;
  }

  /**
   * Update for a peer that has revision `known`; undefined if there is no proven
   * configuration.
   */
  configNews(known: number): ConfigNews | undefined {
    const ageMs = this.proofAgeMs;
    if (this.configItem === undefined || !Number.isFinite(ageMs)) return;
    const { revision, value } = this.configItem;
    return { revision, ageMs, value: known === revision ? undefined : value };
  }

  /** Takes a peer's answer to a configuration query sent at `sentAt`. */
  onConfigNews({ revision, ageMs, value }: ConfigNews, sentAt: number): void {
    if (revision < this.configRevision) return;
    const { configName: name } = this.source;
    if (revision > this.configRevision) {
      if (value === undefined) return;
      this.onConfigItem({ name, revision, value }, "holder");
    }
    this.onConfigProven(sentAt - ageMs);
  }

  onReplicaList(items: readonly FeedItem[], stability: StoreStability): void {
    const listed = items.flatMap((item) => {
      const replica = this.readReplica(item);
      return replica === undefined
        ? []
        : [{ replica, revision: item.revision }];
    });
    const changes = this.replicas.replace(listed, this.now(), stability);
    this.logChanges(changes);
    this.hasReplicas = true;
  }

  /** The replica list is no longer watched. */
  onReplicasStale(): void {
    this.hasReplicas = false;
    this.replicaList.onStale();
  }

  onReplicaChange(change: FeedChange, stability: StoreStability): void {
    const { item, isRemoved } = change;
    if (isRemoved) {
      const gone = this.replicas.remove(item.name, this.now(), stability);
      if (gone !== undefined) this.logChanges([gone]);
      return;
    }
    const replica = this.readReplica(item);
    if (replica === undefined) return;
    const changes = this.replicas.put(replica, item.revision, this.now());
    this.logChanges(changes);
  }

  /** Removes replicas that vanished and did not come back in time. */
  expire(): void {
    this.logChanges(this.replicas.removeExpired(this.now()));
  }

  services(): readonly GatewayService[] {
    return this.table?.config.services ?? [];
  }

  /** Longest time that one answer to a resumable request may take, ms. */
  maxResumableMs(service: string): number {
    const routes = this.table?.config.routes ?? [];
    const timeouts = routes.flatMap(({ isResumable, targets, timeoutMs }) => {
      const isOfService = targets.some((target) => target.service === service);
      return isResumable && isOfService ? [timeoutMs] : [];
    });
    return Math.max(0, ...timeouts);
  }

  /** Services that have engines. */
  engineServices(): string[] {
    return this.services().flatMap(({ name, engine }) =>
      engine ? [name] : [],
    );
  }

  /**
   * The engines of a service that may get new work. The list is cached until it
   * changes, since it is read for each request.
   */
  engines(service: string): readonly EngineView[] {
    const { table, replicas } = this;
    const now = this.now();
    const cached = this.engineListCache.get(service);
    const isCacheValid =
      cached?.table === table &&
      cached?.revision === replicas.revision &&
      now < cached.until;
    if (isCacheValid) return cached.engines;
    const engines = this.listEngines(service, now);
    const { revision } = replicas;
    const until = replicas.usableUntil(now);
    this.engineListCache.set(service, { table, revision, until, engines });
    return engines;
  }

  private listEngines(service: string, now: number): EngineView[] {
    const sizes = this.table?.service(service)?.engine;
    if (sizes === undefined) return [];
    const usable = this.replicas.usable(service, now);
    // Where engines have stages, a record without one is not the engine's own.
    const hasStages = usable.some(({ stage }) => stage !== undefined);
    const engines = usable.filter(({ stage }) => !hasStages || stage);
    return engines.map((replica) => ({
      id: replica.id,
      domain: replica.domain,
      stage: replica.stage ?? "decode",
      slots: sizes.slots,
      kvCapacityTokens: sizes.kvCapacityTokens,
      softwareVersion: replica.softwareVersion,
    }));
  }

  /** Decodes a replica; if that fails, the one stored before is dropped too. */
  private readReplica(item: FeedItem): Replica | undefined {
    const replica = this.decode("replica", item, () =>
      this.source.decodeReplica(item.name, item.value),
    );
    if (replica !== undefined) return replica;
    const gone = this.replicas.drop(item.name);
    if (gone !== undefined) this.logChanges([gone]);
    return undefined;
  }

  /** Decodes an object; a failure is logged, and the last good state stays. */
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
      this.onReplicasChanged(replica.service);
      this.log.info(`replica ${kind}`, {
        replica: replica.id,
        service: replica.service,
        address: replica.address,
        state: replica.state,
        stage: replica.stage,
        softwareVersion: replica.softwareVersion,
      });
    }
  }
}
