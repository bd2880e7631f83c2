import type { Ms } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';
import type { MappingPhase } from './mappingphase.js';

/** State of mapping one request's `Idempotency-Key` to a ticket. */
export interface MappingState {
  readonly phase: MappingPhase;
  readonly requestHash: string;
  /** The ticket issued to this entry for the key; empty until then. */
  readonly ticket: string;
  /** From this time on, a missing mapping does not prove that the key is unmapped: it may have existed and lapsed. */
  readonly boundUntilMs: Ms;
  /** Remaining attempts to create the key. */
  readonly createsLeft: number;
  /** Refusal for the caller if the store shows that the key was never mapped. */
  readonly reason: Refusal;
}
