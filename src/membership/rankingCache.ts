/**
 * Rankings of members by topic, worked out again only when the members
 * change: at 700 entries a ranking costs a millisecond, and each process asks
 * for several a second.
 */
import type { Member, Membership } from "./membership.js";
import { rankMembers } from "./ranking.js";

export class RankingCache {
  private hash = -1;
  private readonly ranked = new Map<string, Set<string>>();

  constructor(
    private readonly membership: Membership,
    /** Which members take part. */
    private readonly takesPart: (member: Member) => boolean,
  ) {}

  /** Whether this process is among the first `count` for a topic. */
  isSelfRanked(topic: string, count: number): boolean {
    if (this.membership.hash !== this.hash) {
      this.hash = this.membership.hash;
      this.ranked.clear();
    }
    const known = this.ranked.get(topic) ?? this.rank(topic, count);
    return known.has(this.membership.self.id);
  }

  private rank(topic: string, count: number): Set<string> {
    const members = this.membership.all().filter(this.takesPart);
    const first = rankMembers(topic, members, count);
    const ids = new Set(first.map((member) => member.id));
    this.ranked.set(topic, ids);
    return ids;
  }
}
