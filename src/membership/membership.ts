/**
 * One process's view of the members of the fleet, updated by gossip. Changes are
 * piggybacked as rumours on the exchange with a few peers, and each rumour is
 * sent a bounded number of times. Uses no clock and no sockets.
 *
 * Precedence: the higher incarnation wins; at the same incarnation, the later
 * state in `MEMBER_STATES` wins. Only a member itself raises its incarnation.
 */
import type { Rng } from "../shared/rng.js";

export const MEMBER_STATES = ["alive", "suspect", "leaving", "gone"] as const;

export type MemberState = (typeof MEMBER_STATES)[number];

export const MEMBER_KINDS = ["entry", "side"] as const;

export type MemberKind = (typeof MEMBER_KINDS)[number];

/** One process of the fleet. */
export interface Member {
  /** The entry's id, or for a side the id of its upstream. */
  id: string;
  kind: MemberKind;
  state: MemberState;
  /** Process start, ms since 1970; raised to refute a suspicion or to announce a role. */
  incarnation: number;
  /** Address of its peer server, "IP:port". */
  peerAddress: string;
  /** Failure domain. */
  domain: string;
  /** Role of a side's engine; empty for entries and plain services. */
  role: string;
}

const isState = (value: string): value is MemberState =>
  MEMBER_STATES.includes(value as MemberState);

const isKind = (value: string): value is MemberKind =>
  MEMBER_KINDS.includes(value as MemberKind);

/** A rumour as received, before validation. */
export interface RawRumour {
  id: string;
  kind: string;
  state: string;
  incarnation: number;
  peerAddress: string;
  domain: string;
  role: string;
}

/** Validates a received rumour; returns undefined if it is invalid. */
export const parseMember = (raw: RawRumour): Member | undefined => {
  const { id, kind, state } = raw;
  if (id === "" || !isKind(kind) || !isState(state)) return undefined;
  return { ...raw, kind, state };
};

/** Sends of a rumour per doubling of the fleet size. */
const SENDS_PER_DOUBLING = 3;
/** Maximum rumours per message; each takes 60 bytes. */
const MAX_RUMOURS = 12;
/** Time after which a suspect that has not refuted counts as gone, ms. */
const SUSPECT_TIMEOUT_MS = 5000;
/** Time after which a gone member is deleted, ms. */
const GONE_RETENTION_MS = 600_000;

const hashOf = (member: Member): number => {
  const text = `${member.id}|${member.incarnation}|${member.state}`;
  let hash = 2166136261;
  for (let at = 0; at < text.length; at += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 16777619);
  }
  return hash >>> 0;
};

const isNewer = (update: Member, known: Member): boolean => {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  const rank = MEMBER_STATES.indexOf(update.state);
  return rank > MEMBER_STATES.indexOf(known.state);
};

type Listener = (member: Member) => void;

export class Membership {
  private readonly members = new Map<string, Member>();
  /** Remaining sends of each member's rumour. */
  private readonly sendsLeft = new Map<string, number>();
  /** Time of each member's last update, ms. */
  private readonly updatedAt = new Map<string, number>();
  private readonly listeners: Listener[] = [];
  private xorHash = 0;

  constructor(private own: Member) {
    this.store(own);
  }

  get self(): Member {
    return this.own;
  }

  /** Hash of the view; equal views have equal hashes, others rarely do. */
  get hash(): number {
    return this.xorHash >>> 0;
  }

  get size(): number {
    return this.members.size;
  }

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  all(): Member[] {
    return [...this.members.values()];
  }

  get(id: string): Member | undefined {
    return this.members.get(id);
  }

  /** Other members that are not gone. */
  reachable(): Member[] {
    return this.all().filter(
      (item) => item.id !== this.own.id && item.state !== "gone",
    );
  }

  /** Sets this process's own state, such as `leaving`. */
  announce(state: MemberState): void {
    this.own = { ...this.own, state };
    this.store(this.own);
    this.notify(this.own);
  }

  /** Sets the own engine's role, with a new incarnation so that it takes precedence. */
  announceRole(role: string): void {
    if (role === this.own.role) return;
    const incarnation = this.own.incarnation + 1;
    this.own = { ...this.own, role, incarnation };
    this.store(this.own);
  }

  /** Merges member updates from a peer or from the VM list. */
  merge(members: Member[], now: number): void {
    for (const member of members) this.mergeOne(member, now);
  }

  /** Marks a peer that did not answer as suspect; it is not gone yet. */
  markSuspect(id: string, now: number): void {
    const known = this.members.get(id);
    if (known === undefined || known.state !== "alive") return;
    this.mergeOne({ ...known, state: "suspect" }, now);
  }

  /** Marks expired suspects as gone and deletes long-gone members. */
  tick(now: number): void {
    for (const member of this.members.values()) {
      const age = now - (this.updatedAt.get(member.id) ?? now);
      if (member.state === "suspect" && age >= SUSPECT_TIMEOUT_MS) {
        this.mergeOne({ ...member, state: "gone" }, now);
      }
      if (member.state === "gone" && age >= GONE_RETENTION_MS)
        this.drop(member);
    }
  }

  /** Takes the next rumours to send, those with the most sends left first. */
  takeRumours(): Member[] {
    const ids = [...this.sendsLeft]
      .sort((left, right) => right[1] - left[1])
      .slice(0, MAX_RUMOURS);
    const taken: Member[] = [];
    for (const [id, left] of ids) {
      if (left <= 1) this.sendsLeft.delete(id);
      else this.sendsLeft.set(id, left - 1);
      const member = this.members.get(id);
      if (member !== undefined) taken.push(member);
    }
    return taken;
  }

  /** Picks up to `count` random reachable members to exchange with. */
  pickPeers(count: number, rng: Rng): Member[] {
    const pool = this.reachable();
    const picked: Member[] = [];
    while (picked.length < count && pool.length > 0) {
      const at = Math.floor(rng() * pool.length);
      const [member] = pool.splice(at, 1);
      if (member !== undefined) picked.push(member);
    }
    return picked;
  }

  /** Stores an update that takes precedence over the known state. */
  private mergeOne(update: Member, now: number): void {
    if (update.id === this.own.id) return this.mergeSelf(update);
    const known = this.members.get(update.id);
    if (known !== undefined && !isNewer(update, known)) return;
    if (known === undefined && update.state === "gone") return;
    this.store(update);
    this.updatedAt.set(update.id, now);
    this.notify(update);
  }

  /** Refutes a false suspicion, but accepts `leaving`, which the VM list sets. */
  private mergeSelf(update: Member): void {
    if (update.incarnation < this.own.incarnation) return;
    if (update.state === "alive") return;
    if (update.state === "leaving") {
      if (this.own.state !== "leaving") this.announce("leaving");
      return;
    }
    this.own = { ...this.own, incarnation: update.incarnation + 1 };
    this.store(this.own);
  }

  private store(member: Member): void {
    const known = this.members.get(member.id);
    if (known !== undefined) this.xorHash ^= hashOf(known);
    this.xorHash ^= hashOf(member);
    this.members.set(member.id, member);
    const doublings = Math.ceil(Math.log2(this.members.size + 1));
    this.sendsLeft.set(member.id, SENDS_PER_DOUBLING * doublings);
  }

  private drop(member: Member): void {
    this.xorHash ^= hashOf(member);
    this.members.delete(member.id);
    this.sendsLeft.delete(member.id);
    this.updatedAt.delete(member.id);
  }

  private notify(member: Member): void {
    for (const listener of this.listeners) listener(member);
  }
}
