import { PassThrough, Writable } from 'node:stream';
import test from 'ava';
import { VirtualClock } from '../src/base/index.js';
import { createBoundedLog } from '../src/shell/log/index.js';

interface Line {
  readonly message: string;
  readonly end?: string;
  readonly leftOut?: number;
}

function linesOf(out: PassThrough): Line[] {
  const text = String(out.read() ?? '');
  return text.split('\n').flatMap((line) => (line === '' ? [] : [JSON.parse(line) as Line]));
}

test('lines about successful requests beyond the rate limit are dropped and counted, others are kept', async (t) => {
  const clock = new VirtualClock();
  const out = new PassThrough({ highWaterMark: 10_000_000 });
  const log = createBoundedLog({ process: 'entry', out, clock });
  clock.advanceTo(5000);
  for (let at = 0; at < 500; at += 1) log.info('request', { end: 'answered' });
  for (let at = 0; at < 50; at += 1) log.info('request', { end: 'timeout' });
  clock.advanceTo(6000);
  log.info('started');
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const lines = linesOf(out);
  t.is(lines.filter(({ end }) => end === 'timeout').length, 50);
  const answered = lines.filter(({ end }) => end === 'answered').length;
  t.true(answered > 0 && answered < 500);
  t.is(lines.find(({ message }) => message === 'lines left out')?.leftOut, 500 - answered);
});

test('lines about requests and orders do not displace lines about the state of the process', async (t) => {
  const clock = new VirtualClock();
  const out = new PassThrough({ highWaterMark: 10_000_000 });
  const log = createBoundedLog({ process: 'entry', out, clock });
  clock.advanceTo(5000);
  for (let at = 0; at < 500; at += 1) log.info('request', { end: 'timeout', requestId: `r${at}` });
  for (let at = 0; at < 500; at += 1) log.info('request refused', { requestId: `r${at}` });
  for (let at = 0; at < 500; at += 1) log.info('order', { upstream: `u${at}` });
  log.info('configuration in force', { version: 2 });
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  t.true(linesOf(out).some(({ message }) => message === 'configuration in force'));
});

test('a stalled reader does not block the log, and the dropped lines are counted once it reads again', async (t) => {
  const clock = new VirtualClock();
  const written: string[] = [];
  let resumeReader = () => {};
  const out = new Writable({
    highWaterMark: 10,
    write(chunk: Buffer, _encoding, done) {
      written.push(chunk.toString());
      resumeReader = done;
    },
  });
  const log = createBoundedLog({ process: 'entry', out, clock });
  for (let second = 2; second < 100; second += 1) {
    clock.advanceTo(second * 1000);
    for (let at = 0; at < 100; at += 1) log.error('failed', { text: 'x'.repeat(100) });
  }
  t.true(out.writableLength < 400_000);
  while (out.writableLength > 0) {
    resumeReader();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  clock.advanceTo(200_000);
  log.info('started');
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  resumeReader();
  t.regex(written.join(''), /"leftOut":\d{3,}/);
});
