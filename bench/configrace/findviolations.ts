import { verifyChain } from '../../src/core/audit/index.js';
import { sha256 } from '../../src/shell/acceptance/index.js';
import type { Attempt } from './attempt.js';
import type { Taken } from './truth.js';

function falseWords(attempts: readonly Attempt[], taken: readonly Taken[]): readonly string[] {
  const violations: string[] = [];
  for (const { changeId, told, revision, expectedRevision } of attempts) {
    const own = taken.filter(({ entry }) => entry.changeId === changeId);
    const [first] = own;
    if (own.length > 1) violations.push(`${changeId}: taken ${own.length} times`);
    if (told === 'accepted' && first?.revision !== revision) {
      violations.push(`${changeId}: told accepted at ${revision}, taken at ${first?.revision}`);
    }
    if (told !== 'accepted' && told !== 'outcome-unknown' && first) {
      violations.push(`${changeId}: told ${told}, taken at ${first.revision}`);
    }
    if (first && first.entry.basedOnRevision !== expectedRevision) {
      violations.push(`${changeId}: took the place of a change that its operator had not seen`);
    }
  }
  return violations;
}

function brokenChain(taken: readonly Taken[]): readonly string[] {
  const violations: string[] = [];
  for (const [index, { entry, revision, stored }] of taken.entries()) {
    const verified = verifyChain(stored.audit, stored.document, sha256);
    if (verified.err) violations.push(`revision ${revision}: ${verified.val.detail}`);
    const before = taken[index - 1];
    if (entry.basedOnRevision !== (before?.revision ?? 0)) {
      violations.push(`revision ${revision}: does not follow ${before?.revision ?? 0}`);
    }
  }
  const entries = taken.map(({ entry }) => entry);
  const whole = verifyChain(entries, taken.at(-1)?.stored.document ?? '', sha256);
  if (whole.err && taken.length > 0) violations.push(whole.val.detail);
  return violations;
}

/** Compares what operators were told with what the store took: every difference is a violation. */
export function findViolations(
  attempts: readonly Attempt[],
  taken: readonly Taken[],
): readonly string[] {
  return [...falseWords(attempts, taken), ...brokenChain(taken)];
}
