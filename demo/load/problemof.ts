import type { Outcome } from './outcome.js';

interface Problem {
  readonly type?: string;
  readonly executed?: string;
  readonly requestId?: string;
}

/** What an RFC 9457 body tells; anything else is an answer that is not whole. */
export function problemOf(text: string, tookMs: number): Outcome {
  try {
    const { type, executed, requestId } = JSON.parse(text) as Problem;
    const reason = type?.replace('urn:tarragonstile:', '');
    if (executed === 'no') return { type: 'refused', tookMs, requestId, reason };
    // It ran, but its answer is no longer kept: an explicit end without the answer as well.
    const hasEnd = executed === 'unknown' || executed === 'yes';
    if (hasEnd) return { type: 'unknown', tookMs, requestId, reason };
  } catch {
    // Not a problem document.
  }
  return { type: 'cut', tookMs };
}
