/** Which upstreams are alive, as one entry sees it: host list, sidecars' records and calls together. */
export type { Member } from './member.js';
export type { MemberEffect } from './membereffect.js';
export type { MemberEvent } from './memberevent.js';
export { memberLimits } from './memberlimits.js';
export type { MemberPhase } from './memberphase.js';
export type { MemberState } from './memberstate.js';
export { stepMember } from './stepmember.js';
