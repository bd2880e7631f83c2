import type { Incarnation, UpstreamId } from '../../base/index.js';
import type { MemberPhase } from './memberphase.js';

/** Reports that a member's phase or incarnation has changed. */
export interface MemberEffect {
  readonly type: 'member-changed';
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  readonly from: MemberPhase;
  readonly to: MemberPhase;
}
