import fc from 'fast-check';
import { play } from './play.js';

/** Longest interleaving. */
const MAX_ACTS = 120;

const PICK_LIMIT = 2 ** 31 - 1;

/** What a run of the checker found. */
interface Found {
  readonly interleavings: number;
  readonly acts: number;
  /** Runs at the service and what callers were told, over all interleavings. */
  readonly counts: Readonly<Record<string, number>>;
  readonly violation: string | undefined;
  /** The shortest interleaving that was found to violate a promise. */
  readonly counterexample: readonly string[];
}

/** Plays so many random interleavings of one seed, and stops at the first broken promise. */
export function check(interleavings: number, seed: number): Found {
  const counts: Record<string, number> = {};
  let acts = 0;
  let played = 0;
  const property = fc.property(
    fc.array(fc.noBias(fc.nat({ max: PICK_LIMIT })), {
      minLength: 10,
      maxLength: MAX_ACTS,
      size: 'max',
    }),
    (picks) => {
      const { witness } = play(picks);
      played += 1;
      acts += picks.length;
      for (const [name, count] of Object.entries(witness.counts)) {
        counts[name] = (counts[name] ?? 0) + count;
      }
    },
  );
  const { counterexample, errorInstance } = fc.check(property, { numRuns: interleavings, seed });
  let trace: readonly string[] = [];
  if (counterexample) {
    try {
      play(counterexample[0], true, (lines) => {
        trace = lines;
      });
    } catch {
      // The violation is the trace's last line.
    }
  }
  const thrown = errorInstance instanceof Error ? errorInstance : undefined;
  // Anything else that is thrown is a fault of the checker, not a finding.
  if (thrown && thrown.name !== 'Violation') throw thrown;
  const violation = thrown?.message;
  return { interleavings: played, acts, counts, violation, counterexample: trace };
}
