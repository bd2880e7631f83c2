import test from 'ava';
import type { ServerResponse } from 'node:http';
import { writeRefusal } from '../platform/writerefusal.js';

/** Returns the `Retry-After` header of a refusal. */
function retryAfterOf(retryAfterMs: number | undefined): string | undefined {
  let sent: readonly string[] = [];
  const response = {
    headersSent: false,
    destroyed: false,
    writeHead(_status: number, headers: readonly string[]) {
      sent = headers;
    },
    end() {},
  };
  const refusal = { status: 429, type: 'over-quota', detail: '', executed: 'no', retryAfterMs };
  writeRefusal(response as unknown as ServerResponse, 'r1', refusal as never, false);
  const at = sent.indexOf('Retry-After');
  return at < 0 ? undefined : sent[at + 1];
}

// Guards against a wait that is rounded to 0, which would invite an immediate retry.
test('a short wait before a retry is rounded up to a millisecond', (t) => {
  t.is(retryAfterOf(0.004), '0.001');
  t.is(retryAfterOf(0), '0.001');
  t.is(retryAfterOf(250), '0.250');
  t.is(retryAfterOf(1840.2), '1.841');
  t.is(retryAfterOf(undefined), undefined);
});
