/**
 * The task that exchanges digests with a few peers: members' news and the
 * number of the configuration. A newer configuration is fetched from the
 * peer that has it and passed on at once, so that it spreads in a few hops.
 */
import type { ConfigKeeper } from "../config/index.js";
import type {
  Digest,
  FetchConfigReply,
  FetchConfigRequest,
} from "../gen/snowgate.js";
import { parseMember } from "../membership/index.js";
import type { Member, Membership } from "../membership/index.js";
import type { Rng } from "../shared/rng.js";
import { errText } from "../shared/utils.js";
import type { Log } from "../telemetry/index.js";
import { packBodies, unpackBodies } from "./packedBodies.js";
import type { PeerHandlers, PeerLink } from "./peerLink.js";

/** Exchanges in a row with a differing hash before all members are asked. */
const MAX_HASH_MISMATCHES = 5;

/** Part of the rounds that also ask a declared address, known or not. */
const SEED_PROBABILITY = 0.1;

/** What gossip needs of the link between processes. */
export type GossipLink = Pick<
  PeerLink,
  "exchange" | "fetchConfig" | "fetchMembers"
>;

export interface GossipOptions {
  membership: Membership;
  keeper: ConfigKeeper;
  link: GossipLink;
  log: Log;
  rng: Rng;
  now: () => number;
  fanout: number;
  seeds: string[];
}

export class Gossip implements PeerHandlers {
  private hashMismatches = 0;
  private isPropagating = false;

  constructor(private readonly options: GossipOptions) {
    options.keeper.onChange(() => void this.propagate());
  }

  /** One round: exchange with a few members, or with seeds while alone. */
  async round(): Promise<void> {
    const { membership, now } = this.options;
    membership.tick(now());
    await Promise.all(
      this.targets().map((target) => this.exchangeWith(target)),
    );
  }

  /** Asks every seed and declared side, for a process that starts. */
  async join(): Promise<void> {
    const addresses = this.seedAddresses();
    await Promise.all(
      addresses.map((peerAddress) => this.exchangeWith({ peerAddress })),
    );
    const first = this.options.membership.reachable()[0];
    if (first !== undefined) await this.pullMembers(first.peerAddress);
  }

  /** Passes news on at once, outside the usual pace. */
  async propagate(): Promise<void> {
    if (this.isPropagating) return;
    this.isPropagating = true;
    await Promise.all(
      this.targets().map((target) => this.exchangeWith(target)),
    );
    this.isPropagating = false;
  }

  exchange(digest: Digest): Digest {
    this.mergeRumours(digest);
    if (digest.configNumber > this.options.keeper.number) {
      void this.pullConfig(digest.peerAddress);
    }
    return this.digestFor(digest.from);
  }

  fetchMembers(): { members: Member[] } {
    return { members: this.options.membership.all() };
  }

  fetchConfig({ haveNumber, haveParts }: FetchConfigRequest): FetchConfigReply {
    const state = this.options.keeper.current;
    if (state === undefined || state.head.number <= haveNumber) {
      return { number: 0, parts: {}, bodiesGzip: Buffer.alloc(0) };
    }
    const peerFingerprints = new Set(Object.values(haveParts));
    const bodies = Object.fromEntries(
      Object.entries(state.bodies).filter(
        ([partFingerprint]) => !peerFingerprints.has(partFingerprint),
      ),
    );
    const { number, parts } = state.head;
    return { number, parts, bodiesGzip: packBodies(bodies) };
  }

  /** Fetches what a peer has newer. */
  async pullConfig(address: string): Promise<void> {
    const { keeper, link } = this.options;
    try {
      const reply = await link.fetchConfig(address, {
        haveNumber: keeper.number,
        haveParts: keeper.current?.head.parts ?? {},
      });
      if (reply.number === 0) return;
      const { number, parts, bodiesGzip } = reply;
      const bodies = unpackBodies(bodiesGzip);
      keeper.adopt({ head: { number, parts }, bodies });
    } catch (err) {
      this.logFailure("configuration not fetched", err);
    }
  }

  private async pullMembers(address: string): Promise<void> {
    const { membership, link, now } = this.options;
    try {
      const { members } = await link.fetchMembers(address);
      membership.merge(parseMembers(members), now());
    } catch (err) {
      this.logFailure("members not fetched", err);
    }
  }

  private seedAddresses(): string[] {
    const { seeds, keeper, membership } = this.options;
    const declared = (keeper.current?.config.services ?? []).flatMap(
      (service) => service.upstreams.map((item) => item.peerAddress),
    );
    const all = new Set([...seeds, ...declared]);
    all.delete(membership.self.peerAddress);
    return [...all];
  }

  private targets(): { id?: string; peerAddress: string }[] {
    const { membership, fanout, rng } = this.options;
    const members = membership.pickPeers(fanout, rng);
    // Parted halves of a fleet hold each other for gone and would never talk
    // again: a declared address is asked now and then all the same.
    const hasEnoughTargets =
      members.length >= fanout && rng() >= SEED_PROBABILITY;
    if (hasEnoughTargets) return members;
    const seeds = this.seedAddresses();
    const seed = seeds[Math.floor(rng() * seeds.length)];
    return seed === undefined ? members : [...members, { peerAddress: seed }];
  }

  private async exchangeWith(target: {
    id?: string;
    peerAddress: string;
  }): Promise<void> {
    const { link, membership, keeper, now } = this.options;
    try {
      const reply = await link.exchange(target.peerAddress, this.digest());
      this.mergeRumours(reply);
      await this.notifyIfDoubted(reply.from, target.peerAddress);
      if (reply.configNumber > keeper.number) {
        await this.pullConfig(target.peerAddress);
      }
      await this.compareMembers(reply, target.peerAddress);
    } catch (err) {
      if (target.id !== undefined) membership.markSuspect(target.id, now());
      this.logFailure("peer silent", err);
    }
  }

  /** A peer that is held for gone but answers is told so, and refutes it. */
  private async notifyIfDoubted(id: string, address: string): Promise<void> {
    if (!this.isDoubted(id)) return;
    const { link } = this.options;
    this.mergeRumours(await link.exchange(address, this.digestFor(id)));
  }

  private isDoubted(id: string): boolean {
    const state = this.options.membership.get(id)?.state;
    return state === "suspect" || state === "gone";
  }

  /** Rumours can be missed; a hash that keeps differing fetches all. */
  private async compareMembers(reply: Digest, address: string): Promise<void> {
    if (reply.membersHash === this.options.membership.hash) {
      this.hashMismatches = 0;
      return;
    }
    this.hashMismatches += 1;
    if (this.hashMismatches < MAX_HASH_MISMATCHES) return;
    this.hashMismatches = 0;
    await this.pullMembers(address);
  }

  private mergeRumours(digest: Digest): void {
    const { membership, now } = this.options;
    membership.merge(parseMembers(digest.rumours), now());
  }

  private digest(): Digest {
    const { membership, keeper } = this.options;
    return {
      from: membership.self.id,
      peerAddress: membership.self.peerAddress,
      configNumber: keeper.number,
      membersHash: membership.hash,
      rumours: membership.takeRumours(),
    };
  }

  /** A digest that also tells a peer that it is held for gone. */
  private digestFor(id: string): Digest {
    const digest = this.digest();
    const known = this.options.membership.get(id);
    if (known === undefined || !this.isDoubted(id)) return digest;
    return { ...digest, rumours: [...digest.rumours, known] };
  }

  private logFailure(message: string, err: unknown): void {
    this.options.log.debug(message, { cause: errText(err) });
  }
}

const parseMembers = (raw: Parameters<typeof parseMember>[0][]): Member[] =>
  raw.map(parseMember).filter((item) => item !== undefined);
