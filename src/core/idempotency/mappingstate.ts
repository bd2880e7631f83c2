import type { Ms } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';
import type { MappingPhase } from './mappingphase.js';

/** One request with an `Idempotency-Key`, on its way to a ticket. */
export interface MappingState {
  readonly phase: MappingPhase;
  readonly requestHash: string;
  /** The ticket that this entry was issued for the key; empty until then. */
  readonly ticket: string;
  /** From then on the store's word on the key is no longer relied on. */
  readonly boundUntilMs: Ms;
  /** Creates that may still be tried. */
  readonly createsLeft: number;
  /** What the caller is told if the store shows that the key was never mapped. */
  readonly reason: Refusal;
}
