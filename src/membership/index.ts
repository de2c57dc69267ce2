export { Membership, parseMember } from "./membership.js";
export type { Member, MemberKind, MemberState } from "./membership.js";
export { RankingCache } from "./rankingCache.js";
export { rankMembers } from "./ranking.js";
