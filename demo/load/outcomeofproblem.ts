import type { Outcome } from './outcome.js';

interface Problem {
  readonly type?: string;
  readonly executed?: string;
  readonly requestId?: string;
}

/** Returns the outcome that a problem document (RFC 9457) describes; any other body counts as a cut answer. */
export function outcomeOfProblem(text: string, tookMs: number): Outcome {
  try {
    const { type, executed, requestId } = JSON.parse(text) as Problem;
    const reason = type?.replace('urn:tarragonstile:', '');
    if (executed === 'no') return { type: 'refused', tookMs, requestId, reason };
    // `yes`: it ran, but its answer is no longer stored. This too is an explicit end without an answer.
    const hasEnd = executed === 'unknown' || executed === 'yes';
    if (hasEnd) return { type: 'unknown', tookMs, requestId, reason };
  } catch {
    // Not a problem document.
  }
  return { type: 'cut', tookMs };
}
