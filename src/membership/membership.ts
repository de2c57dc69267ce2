/**
 * Who is in the fleet, as one process knows it. News travels as rumours that
 * ride on the exchange with a few peers; each rumour is passed on a bounded
 * number of times. Pure: events in, state inside, no clock and no sockets.
 *
 * Precedence: a higher incarnation wins; at the same one the later state in
 * `MEMBER_STATES` wins. Only a member itself raises its incarnation.
 */
import type { Rng } from "../shared/rng.js";

export const MEMBER_STATES = ["alive", "suspect", "leaving", "gone"] as const;

export type MemberState = (typeof MEMBER_STATES)[number];

export const MEMBER_KINDS = ["entry", "side"] as const;

export type MemberKind = (typeof MEMBER_KINDS)[number];

/** One process of the system. */
export interface Member {
  /** An entry's own id; for a side the id of its upstream. */
  id: string;
  kind: MemberKind;
  state: MemberState;
  /** Start of the process, ms since 1970, raised to refute a suspicion. */
  incarnation: number;
  /** "IP:port" of its peer server. */
  peerAddress: string;
  domain: string;
  /** Role of a side's engine; empty for entries and plain services. */
  role: string;
}

const isState = (value: string): value is MemberState =>
  MEMBER_STATES.includes(value as MemberState);

const isKind = (value: string): value is MemberKind =>
  MEMBER_KINDS.includes(value as MemberKind);

/** A rumour as it comes from outside. */
export interface RawRumour {
  id: string;
  kind: string;
  state: string;
  incarnation: number;
  peerAddress: string;
  domain: string;
  role: string;
}

/** Checks a rumour where it enters; undefined where it makes no sense. */
export const parseMember = (raw: RawRumour): Member | undefined => {
  const { id, kind, state } = raw;
  if (id === "" || !isKind(kind) || !isState(state)) return undefined;
  return { ...raw, kind, state };
};

/** A rumour is passed on this many times per doubling of the fleet. */
const SENDS_PER_DOUBLING = 3;
/** Rumours in one message; 60 bytes each. */
const MAX_RUMOURS = 12;
/** A suspect that does not speak up counts as gone, ms. */
const SUSPECT_MS = 5000;
/** A member that is gone is forgotten after this, ms. */
const FORGET_MS = 600_000;

const hashOf = (member: Member): number => {
  const text = `${member.id}|${member.incarnation}|${member.state}`;
  let hash = 2166136261;
  for (let at = 0; at < text.length; at += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 16777619);
  }
  return hash >>> 0;
};

const isNewer = (heard: Member, known: Member): boolean => {
  if (heard.incarnation !== known.incarnation) {
    return heard.incarnation > known.incarnation;
  }
  const rank = MEMBER_STATES.indexOf(heard.state);
  return rank > MEMBER_STATES.indexOf(known.state);
};

type Listener = (member: Member) => void;

export class Membership {
  private readonly members = new Map<string, Member>();
  /** Times each member's news may still be passed on. */
  private readonly sends = new Map<string, number>();
  /** When a member became suspect or gone, ms. */
  private readonly since = new Map<string, number>();
  private readonly listeners: Listener[] = [];
  private xor = 0;

  constructor(private me: Member) {
    this.store(me);
  }

  get self(): Member {
    return this.me;
  }

  /** Equal at two processes that know the same, with high probability. */
  get hash(): number {
    return this.xor >>> 0;
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

  /** Members that can be expected to answer. */
  reachable(): Member[] {
    return this.all().filter(
      (item) => item.id !== this.me.id && item.state !== "gone",
    );
  }

  /** A state of its own choice, such as `leaving`. */
  announce(state: MemberState): void {
    this.me = { ...this.me, state };
    this.store(this.me);
    this.notify(this.me);
  }

  /** Its engine's role changed: news that must win over the older. */
  announceRole(role: string): void {
    if (role === this.me.role) return;
    const incarnation = this.me.incarnation + 1;
    this.me = { ...this.me, role, incarnation };
    this.store(this.me);
  }

  /** News of members, from a peer or from the VM list. */
  merge(members: Member[], now: number): void {
    for (const member of members) this.hearOne(member, now);
  }

  /** A peer did not answer: it becomes suspect, not gone. */
  markSuspect(id: string, now: number): void {
    const known = this.members.get(id);
    if (known === undefined || known.state !== "alive") return;
    this.hearOne({ ...known, state: "suspect" }, now);
  }

  /** Time passed: suspects become gone, the gone are forgotten. */
  tick(now: number): void {
    for (const member of this.members.values()) {
      const age = now - (this.since.get(member.id) ?? now);
      if (member.state === "suspect" && age >= SUSPECT_MS) {
        this.hearOne({ ...member, state: "gone" }, now);
      }
      if (member.state === "gone" && age >= FORGET_MS) this.drop(member);
    }
  }

  /** The next rumours to pass on, those sent least first. */
  takeRumours(): Member[] {
    const ids = [...this.sends]
      .sort((left, right) => right[1] - left[1])
      .slice(0, MAX_RUMOURS);
    const taken: Member[] = [];
    for (const [id, left] of ids) {
      if (left <= 1) this.sends.delete(id);
      else this.sends.set(id, left - 1);
      const member = this.members.get(id);
      if (member !== undefined) taken.push(member);
    }
    return taken;
  }

  /** A few random members to exchange with. */
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

  private hearOne(heard: Member, now: number): void {
    if (heard.id === this.me.id) return this.hearOfSelf(heard);
    const known = this.members.get(heard.id);
    if (known !== undefined && !isNewer(heard, known)) return;
    if (known === undefined && heard.state === "gone") return;
    this.store(heard);
    this.since.set(heard.id, now);
    this.notify(heard);
  }

  /** Refutes a false suspicion; the VM list's word to leave is obeyed. */
  private hearOfSelf(heard: Member): void {
    if (heard.incarnation < this.me.incarnation) return;
    if (heard.state === "alive") return;
    if (heard.state === "leaving") {
      if (this.me.state !== "leaving") this.announce("leaving");
      return;
    }
    this.me = { ...this.me, incarnation: heard.incarnation + 1 };
    this.store(this.me);
  }

  private store(member: Member): void {
    const known = this.members.get(member.id);
    if (known !== undefined) this.xor ^= hashOf(known);
    this.xor ^= hashOf(member);
    this.members.set(member.id, member);
    const doublings = Math.ceil(Math.log2(this.members.size + 1));
    this.sends.set(member.id, SENDS_PER_DOUBLING * doublings);
  }

  private drop(member: Member): void {
    this.xor ^= hashOf(member);
    this.members.delete(member.id);
    this.sends.delete(member.id);
    this.since.delete(member.id);
  }

  private notify(member: Member): void {
    for (const listener of this.listeners) listener(member);
  }
}
