export { Membership, restoreMember } from "./membership.js";
export type { Member, MemberKind, MemberState } from "./membership.js";
export { RankedView } from "./rankedView.js";
export { rankedFor } from "./ranking.js";
