/**
 * Rendezvous hashing: all processes with the same view compute the same members
 * for a task, without communication.
 */
import { hashText } from "../routing/prefixes.js";
import type { Member } from "./membership.js";

/** Returns the `count` top-ranked members for a topic. */
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
