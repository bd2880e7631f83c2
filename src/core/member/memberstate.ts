import type { UpstreamId } from '../../base/index.js';
import type { Member } from './member.js';

/** All members of one service that this entry knows. */
export interface MemberState {
  readonly members: ReadonlyMap<UpstreamId, Member>;
}
