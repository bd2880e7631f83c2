import test from 'ava';
import { VirtualClock, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import type { SelfReport } from '../src/port/index.js';
import { UpstreamGate } from '../src/direct/selfreport/index.js';
import { decodeSelfReport } from '../platform/decodeselfreport.js';

interface LogLine {
  readonly message: string;
  readonly fields?: Readonly<Record<string, unknown>>;
}

function gateWith(clock: VirtualClock, lines: LogLine[] = [], sentCount = 0): UpstreamGate {
  const write = (message: string, fields = {}) => lines.push({ message, fields });
  return new UpstreamGate({
    entry: 'e1',
    clock,
    log: { info: write, warn: write, error: write },
    metrics: { count() {}, gauge() {}, histogram() {} },
    share: () => 1,
    draw: () => Promise.resolve(undefined),
    recentSends: () => sentCount,
    heard() {},
    upstreamLeaving() {},
  });
}

function upstream(startedAtMs?: number): Upstream {
  return {
    id: 'u1' as UpstreamId,
    startedAtMs,
    service: 's' as ServiceId,
    address: 'u1:1',
    availabilityZone: 'z',
    slots: 4,
    isLeaving: false,
    models: new Map(),
    warm: new Set(),
    onDisk: new Set(),
  };
}

function reportOf(rate: SelfReport['rate'], more: Partial<SelfReport> = {}): SelfReport {
  return { rate, isLeaving: false, unreadable: [], ...more };
}

const LIMITED = { type: 'limited', perS: 2 } as const;
const UNLIMITED = { type: 'unlimited' } as const;
const UNSAID = { type: 'unsaid' } as const;
const UPSTREAM = 'u1' as UpstreamId;

function decode(headers: readonly string[], status = 200, isOfRun = true): SelfReport {
  return decodeSelfReport({ status, headers, isOfRun });
}

test('a limit is a decimal number, the lowest one counts, and anything else is reported as unreadable', (t) => {
  t.deepEqual(decode(['Server-Limit', '2.3']).rate, { type: 'limited', perS: 2.3 });
  t.deepEqual(decode(['server-limit', '0']).rate, { type: 'limited', perS: 0 });
  t.deepEqual(decode(['Server-Limit', '5', 'Server-Limit', '3']).rate, {
    type: 'limited',
    perS: 3,
  });
  t.deepEqual(decode(['Server-Limit', '5, 4']).rate, { type: 'limited', perS: 4 });
  for (const text of ['', 'NaN', '-1', '1e400', 'many', '0x10']) {
    const report = decode(['Server-Limit', text]);
    t.is(report.rate.type, 'unsaid', text);
    t.is(report.unreadable.length, 1, text);
  }
});

test('an answer without a limit lifts it only if the upstream ran the request', (t) => {
  t.is(decode([]).rate.type, 'unlimited');
  t.is(decode([], 503, false).rate.type, 'unsaid');
});

test('a limit holds from the answer that names it until an answer without one', (t) => {
  const clock = new VirtualClock();
  const lines: LogLine[] = [];
  const gate = gateWith(clock, lines);
  t.is(gate.blockOf(upstream(), 0), undefined);
  gate.onAnswer(upstream(), reportOf(LIMITED));
  t.is(gate.blockOf(upstream(), 0)?.reason, 'limited');
  gate.onAnswer(upstream(), reportOf(UNSAID));
  t.is(gate.blockOf(upstream(), 0)?.reason, 'limited');
  gate.onAnswer(upstream(), reportOf(UNLIMITED));
  t.is(gate.blockOf(upstream(), 0), undefined);
  t.deepEqual(
    lines.map(({ message }) => message),
    ['upstream limit', 'upstream limit over'],
  );
});

test('another incarnation of an upstream has no limit; the old one keeps its limit', (t) => {
  const gate = gateWith(new VirtualClock());
  gate.onAnswer(upstream(100), reportOf(LIMITED));
  t.is(gate.blockOf(upstream(200), 0), undefined);
  t.is(gate.blockOf(upstream(100), 0)?.reason, 'limited');
});

test('an update from another entry applies unless a newer answer says otherwise', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  clock.advanceTo(10_000);
  const news = { upstream: UPSTREAM, ratePerS: 2, rateAgeMs: 200 };
  gate.take('e2', [news]);
  t.is(gate.blockOf(upstream(), clock.nowMs())?.reason, 'limited');
  gate.onAnswer(upstream(), reportOf(UNLIMITED));
  gate.take('e2', [{ ...news, rateAgeMs: 300 }]);
  t.is(gate.blockOf(upstream(), clock.nowMs()), undefined);
  gate.take('e2', [{ upstream: UPSTREAM, ratePerS: 3, rateAgeMs: 0 }]);
  t.is(gate.blockOf(upstream(), clock.nowMs()), undefined);
  clock.advanceTo(11_000);
  gate.take('e2', [{ upstream: UPSTREAM, ratePerS: 3, rateAgeMs: 100 }]);
  t.is(gate.blockOf(upstream(), clock.nowMs())?.reason, 'limited');
});

test('entries share limits, and for a while the end of a limit', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  gate.onAnswer(upstream(7), reportOf(LIMITED));
  clock.advanceTo(500);
  const update = { upstream: UPSTREAM, startedAtMs: 7, isLeaving: undefined, sentBefore: 0 };
  t.deepEqual(gate.report(), [{ ...update, ratePerS: 2, rateAgeMs: 500 }]);
  gate.onAnswer(upstream(7), reportOf(UNLIMITED));
  t.deepEqual(gate.report(), [{ ...update, ratePerS: undefined, rateAgeMs: 0 }]);
  clock.advanceTo(60_000);
  t.deepEqual(gate.report(), []);
});

test('an update does not contain requests sent before the window', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock, [], 40);
  gate.onAnswer(upstream(), reportOf(LIMITED));
  t.is(gate.report()[0]!.sentBefore, 40);
  clock.advanceTo(10_000);
  t.is(gate.report()[0]!.sentBefore, 0);
});

test('a limit that was not confirmed for long is ignored by planning but obeyed by sends', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  gate.onAnswer(upstream(), reportOf(LIMITED));
  t.is(gate.limitOf(upstream()), 2);
  clock.advanceTo(60_000);
  t.is(gate.limitOf(upstream()), undefined);
  t.is(gate.blockOf(upstream(), clock.nowMs())?.reason, 'limited');
});

test('an incarnation keeps leaving, whatever the list or an older update says; another one does not leave', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  gate.onAnswer(upstream(100), reportOf(UNLIMITED, { isLeaving: true }));
  t.true(gate.withReportedState(upstream(100)).isLeaving);
  gate.onAnswer(upstream(100), reportOf(UNLIMITED));
  gate.take('e2', [{ upstream: UPSTREAM, startedAtMs: 100, rateAgeMs: 0 }]);
  t.true(gate.withReportedState(upstream(100)).isLeaving);
  t.false(gate.withReportedState(upstream(200)).isLeaving);
  clock.advanceTo(3_600_000);
  t.true(gate.withReportedState(upstream(100)).isLeaving);
});

test('an entry learns from others that an upstream leaves, and ignores updates on an older incarnation', (t) => {
  const clock = new VirtualClock();
  const [first, second] = [gateWith(clock), gateWith(clock)];
  first.onAnswer(upstream(100), reportOf(UNSAID, { isLeaving: true }));
  second.take('e1', JSON.parse(JSON.stringify(first.report())) as ReturnType<typeof first.report>);
  t.true(second.withReportedState(upstream(100)).isLeaving);
  t.is(second.blockOf(upstream(100), 0), undefined);
  second.onAnswer(upstream(200), reportOf(LIMITED));
  second.take('e1', first.report());
  t.is(second.blockOf(upstream(200), 0)?.reason, 'limited');
  t.false(second.withReportedState(upstream(200)).isLeaving);
});

test('a backoff is a decimal number of seconds with status 503; anything else is reported as unreadable', (t) => {
  t.is(decode(['Retry-After', '1.5'], 503, false).backoffMs, 1500);
  t.is(decode(['Retry-After', '0'], 503, false).backoffMs, 0);
  t.is(decode(['Retry-After', '3600'], 503, false).backoffMs, 3_600_000);
  t.is(decode(['Retry-After', '9'], 429, false).backoffMs, undefined);
  for (const text of ['Thu, 03 Dec 2026 07:00:00 GMT', '-1', 'soon']) {
    const report = decode(['Retry-After', text], 503, false);
    t.is(report.backoffMs, undefined, text);
    t.true(report.unreadable.length > 0, text);
  }
});

test('a backoff lasts until its end, the latest of several, and does not apply to another incarnation', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  gate.onAnswer(upstream(100), reportOf(UNSAID, { backoffMs: 2000 }));
  gate.onAnswer(upstream(100), reportOf(UNSAID, { backoffMs: 500 }));
  t.deepEqual(gate.blockOf(upstream(100), 600), { reason: 'paused', opensInMs: 1400 });
  t.is(gate.blockOf(upstream(200), 600), undefined);
  t.is(gate.blockOf(upstream(100), 2000), undefined);
});

test('a backoff concerns one entry and is not shared with others', (t) => {
  const gate = gateWith(new VirtualClock());
  gate.onAnswer(upstream(), reportOf(UNSAID, { backoffMs: 2000 }));
  t.deepEqual(gate.report(), []);
});
