import type { Incarnation, UpstreamId } from '../../base/index.js';
import type { MemberPhase } from './memberphase.js';

/** A member has changed its phase or its incarnation. */
export interface MemberEffect {
  readonly type: 'member-changed';
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  readonly from: MemberPhase;
  readonly to: MemberPhase;
}
