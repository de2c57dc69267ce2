/**
 * Caches rankings of members by topic until the membership changes. At 700
 * entries a ranking takes a millisecond, and each process needs several per
 * second.
 */
import type { Member, Membership } from "./membership.js";
import { rankMembers } from "./ranking.js";

export class RankingCache {
  private hash = -1;
  private readonly ranked = new Map<string, Set<string>>();

  constructor(
    private readonly membership: Membership,
    /** Selects the members to rank. */
    private readonly isEligible: (member: Member) => boolean,
  ) {}

  /**
   * Whether this process is among the first `count` members for a topic. The
   * cache key is the topic alone, so use one `count` per topic.
   */
  isSelfRanked(topic: string, count: number): boolean {
    if (this.membership.hash !== this.hash) {
      this.hash = this.membership.hash;
      this.ranked.clear();
    }
    const cached = this.ranked.get(topic) ?? this.rank(topic, count);
    return cached.has(this.membership.self.id);
  }

  private rank(topic: string, count: number): Set<string> {
    const members = this.membership.all().filter(this.isEligible);
    const first = rankMembers(topic, members, count);
    const ids = new Set(first.map((member) => member.id));
    this.ranked.set(topic, ids);
    return ids;
  }
}
