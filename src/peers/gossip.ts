/**
 * Gossip: exchanges digests with a few peers, which carry membership rumours
 * and the configuration number. A newer configuration is fetched from the
 * peer that has it and propagated at once, so that it spreads in a few hops.
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

/** Consecutive member hash mismatches before the full list is fetched. */
const MAX_HASH_MISMATCHES = 5;

/** Probability that a round also contacts a seed or declared address. */
const SEED_PROBABILITY = 0.1;

/** Peer calls that gossip uses. */
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

/** Runs gossip rounds and answers those of peers. */
export class Gossip implements PeerHandlers {
  private hashMismatches = 0;
  private isPropagating = false;

  constructor(private readonly options: GossipOptions) {
    options.keeper.onChange(() => void this.propagate());
  }

  /**
   * Runs one round: exchanges digests with a few members, and with a seed if
   * too few are known.
   */
  async round(): Promise<void> {
    const { membership, now } = this.options;
    membership.tick(now());
    await Promise.all(
      this.targets().map((target) => this.exchangeWith(target)),
    );
  }

  /** Contacts every seed and declared side; called at process start. */
  async join(): Promise<void> {
    const addresses = this.seedAddresses();
    await Promise.all(
      addresses.map((peerAddress) => this.exchangeWith({ peerAddress })),
    );
    const first = this.options.membership.reachable()[0];
    if (first !== undefined) await this.pullMembers(first.peerAddress);
  }

  /** Exchanges digests at once instead of waiting for the next round. */
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
    if (this.isStranger(digest.from)) void this.pullMembers(digest.peerAddress);
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

  /** Fetches a peer's configuration and adopts it if newer. */
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
      this.logFailure("configuration fetch failed", err);
    }
  }

  private async pullMembers(address: string): Promise<void> {
    const { membership, link, now } = this.options;
    try {
      const { members } = await link.fetchMembers(address);
      membership.merge(parseMembers(members), now());
    } catch (err) {
      this.logFailure("member list fetch failed", err);
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
    // After a network partition, both halves of the fleet consider each other
    // gone. Contacting a declared address occasionally lets them rejoin.
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
      this.logFailure("peer unreachable", err);
    }
  }

  /** Tells a peer that answers while suspect or gone, so that it refutes. */
  private async notifyIfDoubted(id: string, address: string): Promise<void> {
    if (!this.isDoubted(id)) return;
    const { link } = this.options;
    this.mergeRumours(await link.exchange(address, this.digestFor(id)));
  }

  private isDoubted(id: string): boolean {
    const state = this.options.membership.get(id)?.state;
    return state === "suspect" || state === "gone";
  }

  /**
   * Whether a peer is unknown even after its rumours were merged: it has sent
   * the one of itself to others, as often as it sends any.
   */
  private isStranger(id: string): boolean {
    return this.options.membership.get(id) === undefined;
  }

  /** Fetches all members of a stranger, or after repeated mismatches. */
  private async compareMembers(reply: Digest, address: string): Promise<void> {
    if (reply.membersHash === this.options.membership.hash) {
      this.hashMismatches = 0;
      return;
    }
    this.hashMismatches += 1;
    const isDue = this.hashMismatches >= MAX_HASH_MISMATCHES;
    if (!isDue && !this.isStranger(reply.from)) return;
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

  /** Digest for a peer; tells it if it is considered suspect or gone. */
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
