import fc from 'fast-check';
import { runInterleaving } from './runinterleaving.js';

/** Largest number of actions in an interleaving. */
const MAX_ACTIONS = 120;

const PICK_LIMIT = 2 ** 31 - 1;

/** Result of a run of the checker. */
interface CheckResult {
  readonly interleavings: number;
  readonly acts: number;
  /** Number of runs at the service and of each outcome at callers, over all interleavings. */
  readonly counts: Readonly<Record<string, number>>;
  readonly violation: string | undefined;
  /** The shortest interleaving found that violates a promise. */
  readonly counterexample: readonly string[];
}

/** Runs random interleavings drawn from a seed until one violates a promise. */
export function check(interleavings: number, seed: number): CheckResult {
  const counts: Record<string, number> = {};
  let acts = 0;
  let finished = 0;
  const property = fc.property(
    fc.array(fc.noBias(fc.nat({ max: PICK_LIMIT })), {
      minLength: 10,
      maxLength: MAX_ACTIONS,
      size: 'max',
    }),
    (picks) => {
      const { oracle } = runInterleaving(picks);
      finished += 1;
      acts += picks.length;
      for (const [name, count] of Object.entries(oracle.counts)) {
        counts[name] = (counts[name] ?? 0) + count;
      }
    },
  );
  const { counterexample, errorInstance } = fc.check(property, { numRuns: interleavings, seed });
  let trace: readonly string[] = [];
  if (counterexample) {
    try {
      runInterleaving(counterexample[0], true, (lines) => {
        trace = lines;
      });
    } catch {
      // The violation is the last line of the trace.
    }
  }
  const thrown = errorInstance instanceof Error ? errorInstance : undefined;
  // Any other error is a fault of the checker, not a finding.
  if (thrown && thrown.name !== 'Violation') throw thrown;
  const violation = thrown?.message;
  return { interleavings: finished, acts, counts, violation, counterexample: trace };
}
