import type { Incarnation, Ms } from '../../base/index.js';
import type { MemberPhase } from './memberphase.js';

/** Liveness of one upstream as one entry sees it. */
export interface Member {
  readonly phase: MemberPhase;
  /** Incarnation of its sidecar; 0 until it is known. */
  readonly incarnation: Incarnation;
  /** When this entry first saw this incarnation. */
  readonly incarnationSinceMs: Ms;
  /** When the sidecar was last in contact: by a record, an answer or a refusal. */
  readonly lastContactAtMs: Ms;
  /** Calls that have failed since the last contact. */
  readonly failures: number;
  /** Contacts since the member last became suspect or a call failed. */
  readonly contacts: number;
  /** Recent transitions to `suspect`; falls by one for each `quietMs` without another. */
  readonly suspicions: number;
  /** When it last became suspect, or when `suspicions` last fell. */
  readonly suspectedAtMs: Ms;
  /** Since when it has been missing from the host list. */
  readonly absentSinceMs?: Ms;
}
