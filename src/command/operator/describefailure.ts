import type { Failure } from '../../base/index.js';

/** What some failures carry besides their sentence. */
interface Details {
  readonly failures?: readonly Failure[];
  readonly diff?: string;
}

/** A failure as lines for a person: no stack, and everything that helps to mend it. */
export function describeFailure(failure: Failure & Details): string {
  if (failure.failures) {
    return failure.failures.map(({ type, detail }) => `${detail} [${type}]`).join('\n');
  }
  const lines = [`${failure.type}: ${failure.detail}`];
  if (failure.diff) lines.push('From what is in force to your text:', failure.diff);
  return lines.join('\n');
}
