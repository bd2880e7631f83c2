import test from 'ava';
import fc from 'fast-check';
import type { Revision } from '../src/base/index.js';
import {
  stepAcceptance,
  type AcceptanceFailure,
  type StoredService,
} from '../src/core/acceptance/index.js';
import type { Swap } from '../src/port/index.js';
import { race } from '../bench/configrace/race.js';
import { races } from '../bench/configrace/races.js';

type Step = typeof stepAcceptance;

test('property: under any store faults a change is accepted once, or its outcome is reported correctly', async (t) => {
  const property = fc.asyncProperty(races, async (options) => {
    const { violations } = await race(options);
    return violations.length === 0;
  });
  await t.notThrowsAsync(fc.assert(property, { seed: 11, numRuns: 100 }));
});

const refused = (failure: AcceptanceFailure) => [{ type: 'rejected' as const, failure }];

const NOT_MADE: AcceptanceFailure = {
  type: 'change-not-made',
  detail: 'reported without proof',
  cause: 'store-unavailable',
};

/** Removes the hash of the previous entry from the last audit entry of a swap. */
function unlink(swap: Swap): Swap {
  const stored = JSON.parse(swap.value ?? '') as StoredService;
  const audit = stored.audit.map((entry, index) =>
    index === stored.audit.length - 1 ? { ...entry, previousHash: '' } : entry,
  );
  return { ...swap, value: JSON.stringify({ ...stored, audit }) };
}

/** The core with one guard disabled. The property above must detect each of them. */
const MUTATIONS: Readonly<Record<string, Step>> = {
  'the revision expected by the operator is checked': (state, event, nowMs) => {
    if (state.phase !== 'reading' || event.type !== 'read') {
      return stepAcceptance(state, event, nowMs);
    }
    const expectedRevision = event.item?.revision ?? (0 as Revision);
    const change = { ...state.change, expectedRevision };
    return stepAcceptance({ ...state, change }, event, nowMs);
  },
  'the key is read back after a lost answer': (state, event, nowMs) => {
    const lost = event.type === 'failed' && event.failure.type === 'store-outcome-unknown';
    if (!lost) return stepAcceptance(state, event, nowMs);
    return { state, effects: refused(NOT_MADE) };
  },
  'the swap is sent again if the key is unchanged': (state, event, nowMs) => {
    const next = stepAcceptance(state, event, nowMs);
    const again = state.phase === 'readingBack' && next.state.phase === 'swappingAgain';
    return again ? { ...next, effects: refused(NOT_MADE) } : next;
  },
  'the change id is looked up in the stored audit entries': (state, event, nowMs) => {
    const next = stepAcceptance(state, event, nowMs);
    const found = event.type === 'read' || event.type === 'conflict';
    if (!found || next.state.phase !== 'accepted') return next;
    return { ...next, effects: refused(NOT_MADE) };
  },
  'a store failure after a lost answer does not prove that the change was not made': (
    state,
    event,
    nowMs,
  ) => {
    if (state.phase !== 'swappingAgain' || event.type !== 'failed') {
      return stepAcceptance(state, event, nowMs);
    }
    return { state, effects: refused(NOT_MADE) };
  },
  'the outcome is unknown once the position in the audit chain is no longer kept': (
    state,
    event,
    nowMs,
  ) => {
    const next = stepAcceptance(state, event, nowMs);
    const uncertain = event.type !== 'waited' && next.state.phase === 'unknown';
    return uncertain ? { ...next, effects: refused(NOT_MADE) } : next;
  },
  'the outcome is unknown if the store stays unavailable': (state, event, nowMs) => {
    const next = stepAcceptance(state, event, nowMs);
    const givenUp = event.type === 'waited' && next.state.phase === 'unknown';
    return givenUp ? { ...next, effects: refused(NOT_MADE) } : next;
  },
  'each audit entry holds the hash of the previous one': (state, event, nowMs) => {
    const next = stepAcceptance(state, event, nowMs);
    const effects = next.effects.map((effect) =>
      effect.type === 'swap' ? { ...effect, swap: unlink(effect.swap) } : effect,
    );
    return { ...next, effects };
  },
};

for (const [guard, step] of Object.entries(MUTATIONS)) {
  test(`the property fails without the guard: ${guard}`, async (t) => {
    const property = fc.asyncProperty(races, async (options) => {
      const { violations } = await race({ ...options, step });
      return violations.length === 0;
    });
    const details = await fc.check(property, { seed: 11, numRuns: 1000, endOnFailure: true });
    t.true(details.failed);
    t.log(`found in race ${details.numRuns}`);
  });
}
