import test from 'ava';
import fc from 'fast-check';
import { nextStep, type AttemptEnd, type Progress } from '../src/core/delivery/index.js';

const RUNS = 5000;

const progress: fc.Arbitrary<Progress> = fc.record({
  isRepeatable: fc.boolean(),
  isResumable: fc.boolean(),
  hasBegun: fc.boolean(),
  ranCount: fc.nat(4),
  refusedCount: fc.nat(6),
  maxAttempts: fc.integer({ min: 1, max: 3 }),
  remainingMs: fc.integer({ min: -50, max: 5000 }),
});

const end: fc.Arbitrary<AttemptEnd> = fc.oneof(
  fc.record({ type: fc.constant('not-run' as const), wasSent: fc.boolean() }),
  fc.record({ type: fc.constant('failed' as const) }),
  fc.record({ type: fc.constant('broken' as const) }),
);

/** Counts a broken or failed attempt among those that may have run, as it is when the decision is made. */
function after(now: Progress, { type }: AttemptEnd): Progress {
  return type === 'not-run' ? now : { ...now, ranCount: Math.max(1, now.ranCount) };
}

test('a request that may have run is never refused', (t) => {
  fc.assert(
    fc.property(progress, end, (now, last) => {
      const state = after(now, last);
      if (nextStep(state, last).type === 'refuse') t.is(state.ranCount, 0);
    }),
    { numRuns: RUNS },
  );
  t.pass();
});

test('a request that may have run is retried only if repeatable, at no more upstreams than the route allows', (t) => {
  fc.assert(
    fc.property(progress, end, (now, last) => {
      const state = after(now, last);
      const step = nextStep(state, last);
      if (last.type === 'not-run' || (step.type !== 'again' && step.type !== 'resume')) return;
      t.true(state.isRepeatable);
      t.true(state.ranCount < state.maxAttempts);
    }),
    { numRuns: RUNS },
  );
  t.pass();
});

test('an answer that has begun is resumed or aborted, never restarted or replaced', (t) => {
  fc.assert(
    fc.property(progress, end, (now, last) => {
      if (!now.hasBegun || last.type === 'failed') return;
      t.true(['resume', 'cut'].includes(nextStep(after(now, last), last).type));
    }),
    { numRuns: RUNS },
  );
  t.pass();
});
