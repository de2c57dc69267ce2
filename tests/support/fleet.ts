/** A small deployment of real processes on loopback. */
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { stringify } from "yaml";

import { applyConfig } from "../../src/config/index.js";
import type { Config, ConfigState } from "../../src/config/index.js";
import { configSchema, ConfigKeeper } from "../../src/config/index.js";
import { exchange } from "../../src/http/index.js";
import { HttpObjectStore } from "../../src/store/index.js";
import { startProgram, startStandin } from "./processes.js";
import type { Program } from "./processes.js";
import { until } from "./until.js";

export const SECRET = "secret-of-this-fleet";
export const OPERATOR_TOKEN = "operators-token";

/** One upstream of the fleet: its stand-in and its side. */
export interface UpstreamSpec {
  id: string;
  service: string;
  kind: "engine" | "plain";
  site: string;
  options?: object;
  /** More settings of its side. */
  side?: object;
  /** Puts the fault proxy between entries and its side. */
  proxied?: boolean;
  /** Puts the fault proxy between side and upstream. */
  proxiedUpstream?: boolean;
}

export interface FleetSpec {
  upstreams: UpstreamSpec[];
  entries: number;
  /** The declared configuration, without upstreams. */
  services: object[];
  sites?: { name: string; region: string; domain: string }[];
  workspaces?: { name: string; weight: number }[];
  entry?: object;
  /** Arguments for Node of entries and sides. */
  nodeArgs?: string[];
  objectApi?: object;
  vmList?: boolean;
  /** Puts the fault proxy between the processes and the object API. */
  proxiedStore?: boolean;
  peerPeriodMs?: number;
  /** Budget of each process at the object API. */
  callsPerSecond?: number;
}

export type TableRow = Record<string, string | number>;

export interface CommandAnswer {
  kind: string;
  text?: string;
  rows?: TableRow[];
}

interface UpstreamParts {
  spec: UpstreamSpec;
  standin: Program;
  side: Program;
  /** Where entries reach the side: its own address or the proxy's. */
  dataAddress: string;
  proxy?: Program;
  upstreamProxy?: Program;
}

/**
 * A loopback address that no other run of the tests listens at, so that what
 * starts again finds its port free.
 */
const OWN_ADDRESS = ((): string => {
  const run = process.pid % 0xfffff;
  return `127.${64 + (run >> 16)}.${(run >> 8) & 0xff}.${run & 0xff}:0`;
})();

const post = async (address: string, where: string, body: unknown) => {
  const url = `http://${address}${where}`;
  const answer = await exchange({
    method: "POST",
    url,
    body,
    timeoutMs: 5000,
  });
  return JSON.parse(answer.text) as Record<string, unknown>;
};

export class Fleet {
  objectApi!: Program;
  vmList: Program | undefined;
  storeProxy: Program | undefined;
  readonly upstreams = new Map<string, UpstreamParts>();
  readonly entries: Program[] = [];
  private readonly folder = mkdtempSync(path.join(tmpdir(), "snowgate-"));

  constructor(readonly spec: FleetSpec) {}

  static async start(spec: FleetSpec): Promise<Fleet> {
    const fleet = new Fleet(spec);
    fleet.objectApi = await startStandin("objectApi", spec.objectApi);
    if (spec.proxiedStore) {
      const target = fleet.objectApi.at.listening;
      fleet.storeProxy = await startStandin("faultProxy", { target }, 2);
    }
    if (spec.vmList) fleet.vmList = await startStandin("vmList");
    await Promise.all(spec.upstreams.map((item) => fleet.addUpstream(item)));
    await fleet.apply(fleet.config());
    for (let index = 1; index <= spec.entries; index += 1) {
      await fleet.addEntry(`entry-${index}`);
    }
    await Promise.all(fleet.entries.map((entry) => fleet.ready(entry)));
    return fleet;
  }

  /** Address of the object API as the processes use it. */
  get storeAddress(): string {
    return this.storeProxy?.at.proxy ?? this.objectApi.at.listening ?? "";
  }

  entryUrl(index = 0): string {
    return `http://${this.entries[index]?.at.callers}`;
  }

  part(id: string): UpstreamParts {
    const part = this.upstreams.get(id);
    if (part === undefined) throw new Error(`no upstream ${id}`);
    return part;
  }

  store(): HttpObjectStore {
    return new HttpObjectStore(`http://${this.objectApi.at.listening}`, 2000);
  }

  config(): Config {
    const sites = this.spec.sites ?? [
      { name: "bilbao", region: "norte", domain: "norte-a" },
    ];
    const services = this.spec.services.map((service) => ({
      ...service,
      upstreams: [...this.upstreams.values()]
        .filter(
          (part) => part.spec.service === (service as { name: string }).name,
        )
        .map((part) => ({
          id: part.spec.id,
          vm: `vm-${part.spec.id}`,
          site: part.spec.site,
          dataAddress: part.dataAddress,
          peerAddress: part.side.at.peers,
        })),
    }));
    const fleet = {
      name: "test",
      sites,
      workspaces: this.spec.workspaces ?? [],
    };
    return configSchema.parse({ fleet, services });
  }

  /** Accepts a configuration in the object API, past any entry. */
  async apply(config: Config): Promise<number> {
    const store = this.store();
    const keeper = new ConfigKeeper(store);
    await keeper.refresh();
    const state: ConfigState | undefined = keeper.current;
    const result = await applyConfig(store, state, config);
    if (result.kind === "lost") throw new Error("lost the race");
    return result.snapshot.head.number;
  }

  async addUpstream(spec: UpstreamSpec): Promise<void> {
    const script = spec.kind === "engine" ? "engine" : "plainService";
    const options = { address: OWN_ADDRESS, ...spec.options };
    const standin = await startStandin(script, options);
    let target = standin.at.listening ?? "";
    let upstreamProxy: Program | undefined;
    if (spec.proxiedUpstream) {
      upstreamProxy = await startStandin("faultProxy", { target }, 2);
      target = upstreamProxy.at.proxy ?? "";
    }
    const side = await this.startSide(spec, target);
    let dataAddress = side.at.data ?? "";
    let proxy: Program | undefined;
    if (spec.proxied) {
      proxy = await startStandin("faultProxy", { target: dataAddress }, 2);
      dataAddress = proxy.at.proxy ?? "";
    }
    const parts: UpstreamParts = { spec, standin, side, dataAddress };
    if (proxy) parts.proxy = proxy;
    if (upstreamProxy) parts.upstreamProxy = upstreamProxy;
    this.upstreams.set(spec.id, parts);
  }

  /** Starts a side, or one more for the same upstream. */
  async startSide(
    spec: UpstreamSpec,
    upstreamAddress: string,
    listenAt?: { data: string; peers: string },
  ): Promise<Program> {
    const settings = {
      role: "side",
      ...this.common(`side-${spec.id}`, spec.site),
      listen: listenAt ?? { data: OWN_ADDRESS, peers: OWN_ADDRESS },
      upstream: {
        id: spec.id,
        service: spec.service,
        url: `http://${upstreamAddress}`,
        kind: spec.kind,
      },
      orderPollMs: 1000,
      ...spec.side,
    };
    return this.startDaemon(`side-${spec.id}`, settings);
  }

  /** Starts the side of an upstream again, at the addresses it had. */
  async restartSide(id: string): Promise<Program> {
    const part = this.part(id);
    const { data = "", peers = "" } = part.side.at;
    const target = part.upstreamProxy?.at.proxy ?? part.standin.at.listening;
    part.side = await this.startSide(part.spec, target ?? "", { data, peers });
    return part.side;
  }

  /** Starts an upstream's stand-in again, at the address it had. */
  async restartStandin(id: string): Promise<void> {
    const part = this.part(id);
    const script = part.spec.kind === "engine" ? "engine" : "plainService";
    const address = part.standin.at.listening;
    const options = { ...part.spec.options, address };
    part.standin = await startStandin(script, options);
  }

  /** Runs one statement of the language against an entry. */
  async command(statement: string, entry = 0): Promise<CommandAnswer> {
    const answer = await exchange({
      method: "POST",
      url: `http://${this.entries[entry]?.at.operators}/command`,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      text: statement,
      timeoutMs: 10_000,
    });
    return JSON.parse(answer.text) as CommandAnswer;
  }

  /** The rows of a table. */
  async rows(statement: string, entry = 0): Promise<TableRow[]> {
    const answer = await this.command(statement, entry);
    if (answer.rows === undefined) throw new Error(JSON.stringify(answer));
    return answer.rows;
  }

  /** Resolves when the newest order of an upstream is finished. */
  async orderFinished(id: string, entry = 0): Promise<string> {
    let order = "";
    await until(async () => {
      const [row] = await this.rows(
        `show engines where upstream = ${id}`,
        entry,
      );
      order = String(row?.order ?? "");
      return order !== "" && !order.endsWith("open");
    }, `order of ${id}`);
    return order;
  }

  async addEntry(id: string, extra: object = {}): Promise<Program> {
    const settings = {
      role: "entry",
      ...this.common(id, "bilbao"),
      listen: {
        callers: "127.0.0.1:0",
        operators: "127.0.0.1:0",
        peers: "127.0.0.1:0",
      },
      operatorToken: OPERATOR_TOKEN,
      lameDuckMs: 50,
      leaseMs: 1000,
      ...(this.vmList === undefined
        ? {}
        : {
            vmList: {
              url: `http://${this.vmList.at.listening}`,
              pollMs: 100,
            },
          }),
      ...this.spec.entry,
      ...extra,
    };
    const entry = await this.startDaemon(id, settings);
    this.entries.push(entry);
    return entry;
  }

  async ready(entry: Program): Promise<void> {
    await until(async () => {
      const url = `http://${entry.at.callers}/readyz`;
      const answer = await exchange({ method: "GET", url, timeoutMs: 1000 });
      return answer.status === 200;
    });
  }

  /** Sets faults of an upstream's stand-in. */
  faults(id: string, faults: object): Promise<unknown> {
    const address = this.part(id).standin.at.listening ?? "";
    return post(address, "/admin/faults", faults);
  }

  storeFaults(faults: object): Promise<unknown> {
    return post(this.objectApi.at.listening ?? "", "/faults", faults);
  }

  proxyMode(proxy: Program | undefined, mode: object): Promise<unknown> {
    return post(proxy?.at.listening ?? "", "/mode", mode);
  }

  /** An upstream's own record of what it ran. */
  async record<T>(id: string): Promise<T> {
    const url = `http://${this.part(id).standin.at.listening}/admin/record`;
    const answer = await exchange({ method: "GET", url, timeoutMs: 5000 });
    return JSON.parse(answer.text) as T;
  }

  private common(id: string, site: string) {
    const seeds = this.entries
      .map((entry) => entry.at.peers ?? "")
      .filter((address) => address !== "");
    const domain =
      this.spec.sites?.find((item) => item.name === site)?.domain ?? "norte-a";
    return {
      id,
      site,
      domain,
      objectApi: {
        url: `http://${this.storeAddress}`,
        callsPerSecond: this.spec.callsPerSecond ?? 50,
        timeoutMs: 1000,
      },
      peers: {
        secret: SECRET,
        seeds,
        periodMs: this.spec.peerPeriodMs ?? 200,
      },
    };
  }

  private startDaemon(name: string, settings: object): Promise<Program> {
    const file = path.join(this.folder, `${name}-${Date.now()}.yaml`);
    writeFileSync(file, stringify(settings));
    const { nodeArgs = [] } = this.spec;
    const args = ["--settings", file];
    return startProgram(name, "src/daemon/main.js", args, 1, nodeArgs);
  }
}
