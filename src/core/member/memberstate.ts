import type { UpstreamId } from '../../base/index.js';
import type { Member } from './member.js';

/** All known upstreams of one service. */
export interface MemberState {
  readonly members: ReadonlyMap<UpstreamId, Member>;
}
