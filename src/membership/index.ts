export { Membership, restoreMember } from "./membership.js";
export type { Member, MemberKind, MemberState } from "./membership.js";
export { isRankedFor, rankedFor } from "./ranking.js";
