import { Executed, type Refusal } from '../wire/index.js';

/** HTTP status by refusal type; 503 for types that are not listed. */
const STATUS: Readonly<Record<string, number>> = {
  unauthenticated: 401,
  'not-found': 404,
  'model-unknown': 404,
  'body-too-large': 413,
  malformed: 400,
  'kind-unknown': 400,
  'header-malformed': 400,
  'service-unknown': 404,
  'route-unknown': 404,
  'request-timeout': 408,
  'headers-too-large': 431,
  'customer-limit': 429,
  'deadline-unmeetable': 503,
  'deadline-passed': 504,
  'answer-stalled': 504,
  'answer-dropped': 409,
  'upstream-cut': 502,
  'upstream-refused': 502,
  'upstream-wrong-answer': 502,
  'sidecar-lost': 502,
  internal: 500,
  'ticket-expired': 409,
  'ticket-cancelled': 409,
  'ticket-forgotten': 410,
  'ticket-incarnation-gone': 410,
  'ticket-malformed': 400,
  'ticket-mismatch': 422,
  'idempotency-mismatch': 422,
  'ticket-not-yours': 403,
  'outcome-unknown': 502,
};

const EXECUTED: Readonly<Record<number, string>> = {
  [Executed.EXECUTED_NO]: 'no',
  [Executed.EXECUTED_YES]: 'yes',
};

const FALLBACK_STATUS = 503;
const MS_PER_SECOND = 1000;

/** Returns the RFC 9457 response for a refusal. */
export function problem(
  refusal: Refusal,
  requestId: string,
): { status: number; headers: Record<string, string>; body: string } {
  const status = STATUS[refusal.type] ?? FALLBACK_STATUS;
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (refusal.retryAfterMs > 0) {
    headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND));
  }
  const body = JSON.stringify({
    type: `urn:tarragonstile:${refusal.type}`,
    title: refusal.type.replaceAll('-', ' '),
    status,
    detail: refusal.detail,
    executed: EXECUTED[refusal.executed] ?? 'unknown',
    requestId,
  });
  return { status, headers, body };
}
