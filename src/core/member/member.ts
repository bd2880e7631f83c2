import type { Incarnation, Ms } from '../../base/index.js';
import type { MemberPhase } from './memberphase.js';

/** What one entry knows of one upstream's liveness. */
export interface Member {
  readonly phase: MemberPhase;
  /** Incarnation of its sidecar; 0 until it is known. */
  readonly incarnation: Incarnation;
  /** When this incarnation was first seen. */
  readonly renewedAtMs: Ms;
  /** When the sidecar last gave a sign of life: a record, an answer or a refusal. */
  readonly heardAtMs: Ms;
  /** Calls that have failed since the last sign of life. */
  readonly failures: number;
  /** Signs of life since the member was last doubted. */
  readonly confirmations: number;
  /** How often it has been doubted lately; falls by one for each quiet period. */
  readonly doubts: number;
  /** When it was last doubted. */
  readonly doubtedAtMs: Ms;
  /** Since when readings of the host list lack it. */
  readonly absentSinceMs?: Ms;
}
