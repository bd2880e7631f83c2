import test from 'ava';
import { execFile } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const BIN = join(import.meta.dirname, '..', '..', 'bin', 'tarragonstile.js');

function line(message: string, second: number, fields: object): string {
  const timestamp = `2026-02-19T05:57:${second}.000Z`;
  return `front-1 ${JSON.stringify({ message, timestamp, level: 'info', ...fields })}`;
}

const LOG = [
  'not a structured line {',
  line('order turn taken', 40, { epoch: 7, waitMs: 3150 }),
  line('move begun', 45, { upstream: 'u2', model: 'm1', isFromStore: true }),
  line('upstream gone', 46, { upstream: 'u9' }),
  line('request', 47, {
    requestId: 'r1',
    end: 'not-resident',
    attempts: ['u1:not-run-421'],
    service: 's',
    model: 'm1',
    adapter: 'a6',
    route: 'drafts',
    version: 8,
    totalMs: 60,
    retryAfterMs: 360,
  }),
  line('queue refused', 48, {
    requestId: 'r30',
    reason: 'late',
    rank: 3,
    position: 12,
    expectedStartMs: 640,
    waitedMs: 35,
    retryAfterMs: 2100,
  }),
  line('request', 48, {
    requestId: 'r30',
    end: 'upstreams-full',
    attempts: [],
    service: 's',
    model: 'm7',
    totalMs: 36,
    queuedMs: 35,
    retryAfterMs: 2100,
  }),
  line('request refused', 50, {
    requestId: 'r5',
    reason: 'over-quota',
    status: 429,
    customer: 'large',
    cost: 994,
    left: 212,
    knownAgeMs: 120,
    ratePerS: 10_810,
    burst: 10_810,
    version: 9,
    retryAfterMs: 1840,
  }),
  line('run broke off', 20, { requestId: 'r8', content: 'c1', upstream: 'u5', runMs: 80 }),
  line('request judged', 21, { content: 'c1', verdict: 'poison' }),
  line('request', 51, {
    requestId: 'r10',
    end: 'cut',
    attempts: ['u1:upstream-lost'],
    totalMs: 70,
  }),
  line('request', 52, {
    requestId: 'r11',
    resumes: 'r10',
    origin: { service: 's', softwareVersion: 'v1' },
    originSource: 'copy',
    end: 'answered',
    attempts: ['u2:200'],
    totalMs: 90,
  }),
  line('request', 58, {
    requestId: 'r9',
    end: 'request-ends-upstreams',
    attempts: [],
    content: 'c1',
    totalMs: 1,
  }),
  line('run broke off', 30, { requestId: 'r20', content: 'c2', sharedParts: ['f1', 'dead'] }),
  line('run broke off', 31, { requestId: 'r21', content: 'c3', sharedParts: ['f1'] }),
  line('prompt part judged', 32, { part: 'dead', verdict: 'poison' }),
  line('request', 59, {
    requestId: 'r22',
    end: 'request-ends-upstreams',
    attempts: [],
    content: 'c4',
    barredBy: { part: 'dead' },
    totalMs: 1,
  }),
].join('\n');

function trace(id: string): Promise<{ code: number | null; out: string; errors: string }> {
  const file = join(mkdtempSync(join(tmpdir(), 'tarragonstile-')), 'entry.log');
  writeFileSync(file, LOG);
  return new Promise((resolve) => {
    const child = execFile(process.execPath, [BIN, 'trace', id, file], (_error, out, errors) => {
      resolve({ code: child.exitCode, out, errors });
    });
  });
}

test('trace prints how a request ended, what it needed, and the related log lines', async (t) => {
  const { code, out } = await trace('r1');
  t.is(code, 0);
  t.regex(out, /ended as "not-resident" after 60 ms: no upstream held the model or adapter/);
  t.regex(out, /needed s \/ m1 \/ a6 by route drafts of configuration 8/);
  t.regex(out, /Attempt: u1:not-run-421/);
  t.regex(out, /asked to retry after 360 ms/);
  t.regex(out, /move begun upstream="u2"/);
  t.regex(out, /order turn taken/);
  t.notRegex(out, /u9/);
});

test('trace of a withheld request prints the ids under which the same content crashed upstreams', async (t) => {
  const { out } = await trace('r9');
  t.regex(out, /upstreams crashed each time/);
  t.regex(out, /run broke off requestId="r8" content="c1" upstream="u5"/);
  t.regex(out, /request judged content="c1" verdict="poison"/);
});

test('trace of a withheld request prints the runs that crashed under a part of its prompt', async (t) => {
  const { out } = await trace('r22');
  t.regex(out, /Part dead of its prompt crashes upstreams/);
  t.regex(out, /run broke off requestId="r20" content="c2"/);
  t.regex(out, /prompt part judged part="dead" verdict="poison"/);
  t.notRegex(out, /r21/);
});

test('trace of a request that the queue refused prints the forecast behind the refusal', async (t) => {
  const { out } = await trace('r30');
  t.regex(out, /It waited 35 ms in the queue of its entry/);
  t.regex(
    out,
    /refused it as "late" \(rank 3\) after 35 ms: 12 requests before it, start expected in 640 ms/,
  );
});

test('trace of a request over its quota prints the customer and the quota state', async (t) => {
  const { out } = await trace('r5');
  t.regex(out, /refused as "over-quota" \(429\): its customer had reached its limit/);
  t.regex(
    out,
    /Customer large: cost 994, 212 left at this entry, last answer of the quota holder 120 ms before/,
  );
  t.regex(out, /asked to retry after 1840 ms/);
});

test('trace fails with a message if no log line has the request id', async (t) => {
  const { code, errors } = await trace('r2');
  t.is(code, 1);
  t.regex(errors, /No line of 16 names the request r2/);
});

for (const id of ['r10', 'r11']) {
  test(`trace shows all requests of a stream that its caller took up, asked for ${id}`, async (t) => {
    const { out } = await trace(id);
    t.regex(out, /ended as "cut"[^]*ended as "answered"/);
    t.regex(out, /resumed the stream of r10: software v1, weights - \(copy\)/);
  });
}
