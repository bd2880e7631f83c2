import type { Transition, Ms } from '../../base/index.js';
import { refuse } from '../refusal/index.js';
import type { MappingEffect } from './mappingeffect.js';
import type { MappingState } from './mappingstate.js';
import { sharedLease } from './sharedlease.js';

/** A create whose answer was lost is tried once more, after the key has been read. */
const CREATE_LIMIT = 2;

/** Retry-after time for callers when the store did not accept a write. */
const RETRY_AFTER_MS = 1000;

/** Starts mapping the key of a request with this hash. */
export function startMapping(
  requestHash: string,
  arrivedAtMs: Ms,
): Transition<MappingState, MappingEffect> {
  const detail = 'The idempotency key could not be written to the store.';
  const state: MappingState = {
    phase: 'asking',
    requestHash,
    ticket: '',
    boundUntilMs: sharedLease.boundUntilMs(arrivedAtMs),
    createsLeft: CREATE_LIMIT,
    reason: refuse('idempotency-store-failing', detail, { retryAfterMs: RETRY_AFTER_MS }),
  };
  return { state, effects: [{ type: 'ask-ticket' }] };
}
