import { verifyChain } from '../../src/core/audit/index.js';
import { sha256 } from '../../src/shell/acceptance/index.js';
import type { Attempt } from './attempt.js';
import type { AcceptedChange } from './acceptedchanges.js';

function outcomeViolations(
  attempts: readonly Attempt[],
  taken: readonly AcceptedChange[],
): readonly string[] {
  const violations: string[] = [];
  for (const { changeId, outcome, revision, expectedRevision } of attempts) {
    const own = taken.filter(({ entry }) => entry.changeId === changeId);
    const [first] = own;
    if (own.length > 1) violations.push(`${changeId}: stored ${own.length} times`);
    if (outcome === 'accepted' && first?.revision !== revision) {
      violations.push(
        `${changeId}: reported as accepted at ${revision}, stored at ${first?.revision}`,
      );
    }
    if (outcome !== 'accepted' && outcome !== 'outcome-unknown' && first) {
      violations.push(`${changeId}: reported as ${outcome}, stored at ${first.revision}`);
    }
    if (first && first.entry.basedOnRevision !== expectedRevision) {
      violations.push(`${changeId}: overwrote a change that its operator had not seen`);
    }
  }
  return violations;
}

function chainViolations(taken: readonly AcceptedChange[]): readonly string[] {
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
  const wholeChain = verifyChain(entries, taken.at(-1)?.stored.document ?? '', sha256);
  if (wholeChain.err && taken.length > 0) violations.push(wholeChain.val.detail);
  return violations;
}

/** Compares the outcomes reported to operators with the changes in the store; every difference is a violation. */
export function findViolations(
  attempts: readonly Attempt[],
  taken: readonly AcceptedChange[],
): readonly string[] {
  return [...outcomeViolations(attempts, taken), ...chainViolations(taken)];
}
