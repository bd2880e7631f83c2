import fc from 'fast-check';
import type { RaceOptions } from './raceoptions.js';

const share = fc.integer({ min: 0, max: 30 }).map((percent) => percent / 100);

/** Generates races with any combination of store faults. */
export const races: fc.Arbitrary<RaceOptions> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  operators: fc.integer({ min: 2, max: 6 }),
  changes: fc.integer({ min: 6, max: 30 }),
  auditLimit: fc.integer({ min: 1, max: 8 }),
  faults: fc.record({
    maxDelayMs: fc.integer({ min: 0, max: 60 }),
    lostReadShare: share,
    lostAnswerShare: share,
    lostRequestShare: share,
    lateWriteShare: share,
    lateWriteMs: fc.integer({ min: 1, max: 3000 }),
    windows: fc.array(
      fc.record({
        type: fc.constantFrom('outage' as const, 'slow' as const),
        fromMs: fc.integer({ min: 0, max: 1000 }),
        untilMs: fc.oneof(fc.integer({ min: 0, max: 3000 }), fc.constant(20_000)),
        delayMs: fc.integer({ min: 0, max: 300 }),
      }),
      { maxLength: 3 },
    ),
  }),
});
