/** Membership of upstreams as one entry sees it, from the host list, sidecars' records and call outcomes. */
export type { Member } from './member.js';
export type { MemberEffect } from './membereffect.js';
export type { MemberEvent } from './memberevent.js';
export { memberLimits } from './memberlimits.js';
export type { MemberPhase } from './memberphase.js';
export type { MemberState } from './memberstate.js';
export { stepMember } from './stepmember.js';
