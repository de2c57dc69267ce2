/**
 * Rendezvous ranking: every process works out the same few members for a
 * task, without talking.
 */
import { hashText } from "../routing/prefixes.js";
import type { Member } from "./membership.js";

/** The `count` members that rank first for a topic. */
export const rankMembers = (
  topic: string,
  members: readonly Member[],
  count: number,
): Member[] =>
  members
    .map((member) => ({ member, rank: hashText(`${topic}|${member.id}`) }))
    .sort((left, right) => (left.rank < right.rank ? -1 : 1))
    .slice(0, count)
    .map((item) => item.member);
