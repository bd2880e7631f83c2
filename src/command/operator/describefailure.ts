import type { Failure } from '../../base/index.js';

/** Additional fields of some failures. */
interface Details {
  readonly failures?: readonly Failure[];
  readonly diff?: string;
  readonly since?: readonly {
    readonly changeId: string;
    readonly who: string;
    readonly cause: string;
  }[];
}

/** Formats a failure for the operator: without a stack, with all details that help to fix it. */
export function describeFailure(failure: Failure & Details): string {
  if (failure.failures) {
    return failure.failures.map(({ type, detail }) => `${detail} [${type}]`).join('\n');
  }
  const lines = [`${failure.type}: ${failure.detail}`];
  for (const { changeId, who, cause } of failure.since ?? []) {
    lines.push(`since then: change ${changeId} by ${who}: ${cause || 'no cause given'}`);
  }
  if (failure.diff) lines.push('Difference from the document in force to your file:', failure.diff);
  return lines.join('\n');
}
