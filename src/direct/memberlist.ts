import type { Member } from '../core/origin/index.js';

/** The entries of a deployment as the order lease holder lists them, to which all of them report. */
export interface MemberList {
  /** Differs from that of another list. */
  readonly digest: number;
  /** Absent if the entry that is told the digest has this list. */
  readonly members?: readonly Member[];
}
