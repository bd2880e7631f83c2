import type { Failure } from '../../base/index.js';

/** What some failures carry besides their sentence. */
interface Details {
  readonly failures?: readonly Failure[];
  readonly diff?: string;
  readonly since?: readonly {
    readonly changeId: string;
    readonly who: string;
    readonly cause: string;
  }[];
}

/** A failure as lines for a person: no stack, and everything that helps to mend it. */
export function describeFailure(failure: Failure & Details): string {
  if (failure.failures) {
    return failure.failures.map(({ type, detail }) => `${detail} [${type}]`).join('\n');
  }
  const lines = [`${failure.type}: ${failure.detail}`];
  for (const { changeId, who, cause } of failure.since ?? []) {
    lines.push(`since then: change ${changeId} by ${who}: ${cause || 'no cause given'}`);
  }
  if (failure.diff) lines.push('From what is in force to your text:', failure.diff);
  return lines.join('\n');
}
