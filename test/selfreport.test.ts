import test from 'ava';
import { VirtualClock, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { Upstream } from '../src/core/upstreams/index.js';
import type { SelfReport } from '../src/port/index.js';
import { UpstreamGate } from '../src/direct/selfreport/index.js';
import { decodeSelfReport } from '../platform/decodeselfreport.js';

interface Line {
  readonly message: string;
  readonly fields?: Readonly<Record<string, unknown>>;
}

function gateWith(clock: VirtualClock, lines: Line[] = [], sentCount = 0): UpstreamGate {
  const write = (message: string, fields = {}) => lines.push({ message, fields });
  return new UpstreamGate({
    entry: 'e1',
    clock,
    log: { info: write, warn: write, error: write },
    metrics: { count() {}, gauge() {}, histogram() {} },
    share: () => 1,
    draw: () => Promise.resolve(undefined),
    sentLately: () => sentCount,
    heard() {},
    leaves() {},
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

function said(rate: SelfReport['rate'], more: Partial<SelfReport> = {}): SelfReport {
  return { rate, isLeaving: false, unreadable: [], ...more };
}

const LIMITED = { type: 'limited', perS: 2 } as const;
const UNLIMITED = { type: 'unlimited' } as const;
const UNSAID = { type: 'unsaid' } as const;
const UPSTREAM = 'u1' as UpstreamId;

function decode(headers: readonly string[], status = 200, isOfRun = true): SelfReport {
  return decodeSelfReport({ status, headers, isOfRun });
}

test('a limit is a decimal number; of two the lower one counts; anything else changes nothing and is said', (t) => {
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

test('an answer without a limit ends one only if its upstream ran the request', (t) => {
  t.is(decode([]).rate.type, 'unlimited');
  t.is(decode([], 503, false).rate.type, 'unsaid');
});

test('a limit holds from the answer that names it until one that names none', (t) => {
  const clock = new VirtualClock();
  const lines: Line[] = [];
  const gate = gateWith(clock, lines);
  t.is(gate.blockOf(upstream(), 0), undefined);
  gate.hear(upstream(), said(LIMITED));
  t.is(gate.blockOf(upstream(), 0)?.reason, 'limited');
  gate.hear(upstream(), said(UNSAID));
  t.is(gate.blockOf(upstream(), 0)?.reason, 'limited');
  gate.hear(upstream(), said(UNLIMITED));
  t.is(gate.blockOf(upstream(), 0), undefined);
  t.deepEqual(
    lines.map(({ message }) => message),
    ['upstream limit', 'upstream limit over'],
  );
});

test('another start of an upstream has no limit; its old start keeps its own', (t) => {
  const gate = gateWith(new VirtualClock());
  gate.hear(upstream(100), said(LIMITED));
  t.is(gate.blockOf(upstream(200), 0), undefined);
  t.is(gate.blockOf(upstream(100), 0)?.reason, 'limited');
});

test('what another entry tells holds here, unless an answer since then says otherwise', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  clock.advanceTo(10_000);
  const news = { upstream: UPSTREAM, ratePerS: 2, rateAgeMs: 200 };
  gate.take('e2', [news]);
  t.is(gate.blockOf(upstream(), clock.nowMs())?.reason, 'limited');
  gate.hear(upstream(), said(UNLIMITED));
  gate.take('e2', [{ ...news, rateAgeMs: 300 }]);
  t.is(gate.blockOf(upstream(), clock.nowMs()), undefined);
  gate.take('e2', [{ upstream: UPSTREAM, ratePerS: 3, rateAgeMs: 0 }]);
  t.is(gate.blockOf(upstream(), clock.nowMs()), undefined);
  clock.advanceTo(11_000);
  gate.take('e2', [{ upstream: UPSTREAM, ratePerS: 3, rateAgeMs: 100 }]);
  t.is(gate.blockOf(upstream(), clock.nowMs())?.reason, 'limited');
});

test('entries tell each other of limits, and for a while that one is over', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  gate.hear(upstream(7), said(LIMITED));
  clock.advanceTo(500);
  const told = { upstream: UPSTREAM, startedAtMs: 7, isLeaving: undefined, sentBefore: 0 };
  t.deepEqual(gate.report(), [{ ...told, ratePerS: 2, rateAgeMs: 500 }]);
  gate.hear(upstream(7), said(UNLIMITED));
  t.deepEqual(gate.report(), [{ ...told, ratePerS: undefined, rateAgeMs: 0 }]);
  clock.advanceTo(60_000);
  t.deepEqual(gate.report(), []);
});

test('a holder that takes over hears nothing of what was sent long before', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock, [], 40);
  gate.hear(upstream(), said(LIMITED));
  t.is(gate.report()[0]!.sentBefore, 40);
  clock.advanceTo(10_000);
  t.is(gate.report()[0]!.sentBefore, 0);
});

test('a plan does not go by a limit that nobody has heard of for long; a send does', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  gate.hear(upstream(), said(LIMITED));
  t.is(gate.limitOf(upstream()), 2);
  clock.advanceTo(60_000);
  t.is(gate.limitOf(upstream()), undefined);
  t.is(gate.blockOf(upstream(), clock.nowMs())?.reason, 'limited');
});

test('a start that says it leaves stays so, whatever the list or an older entry says; another start does not leave', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  gate.hear(upstream(100), said(UNLIMITED, { isLeaving: true }));
  t.true(gate.told(upstream(100)).isLeaving);
  gate.hear(upstream(100), said(UNLIMITED));
  gate.take('e2', [{ upstream: UPSTREAM, startedAtMs: 100, rateAgeMs: 0 }]);
  t.true(gate.told(upstream(100)).isLeaving);
  t.false(gate.told(upstream(200)).isLeaving);
  clock.advanceTo(3_600_000);
  t.true(gate.told(upstream(100)).isLeaving);
});

test('an entry hears from others that an upstream leaves, and not of an older start', (t) => {
  const clock = new VirtualClock();
  const [first, second] = [gateWith(clock), gateWith(clock)];
  first.hear(upstream(100), said(UNSAID, { isLeaving: true }));
  second.take('e1', JSON.parse(JSON.stringify(first.report())) as ReturnType<typeof first.report>);
  t.true(second.told(upstream(100)).isLeaving);
  t.is(second.blockOf(upstream(100), 0), undefined);
  second.hear(upstream(200), said(LIMITED));
  second.take('e1', first.report());
  t.is(second.blockOf(upstream(200), 0)?.reason, 'limited');
  t.false(second.told(upstream(200)).isLeaving);
});

test('a pause is a decimal number of seconds beside 503; anything else is said and asks for none', (t) => {
  t.is(decode(['Retry-After', '1.5'], 503, false).pauseMs, 1500);
  t.is(decode(['Retry-After', '0'], 503, false).pauseMs, 0);
  t.is(decode(['Retry-After', '3600'], 503, false).pauseMs, 3_600_000);
  t.is(decode(['Retry-After', '9'], 429, false).pauseMs, undefined);
  for (const text of ['Thu, 03 Dec 2026 07:00:00 GMT', '-1', 'soon']) {
    const report = decode(['Retry-After', text], 503, false);
    t.is(report.pauseMs, undefined, text);
    t.true(report.unreadable.length > 0, text);
  }
});

test('a pause holds until its time is over, the longest one if there are several, and not for another start', (t) => {
  const clock = new VirtualClock();
  const gate = gateWith(clock);
  gate.hear(upstream(100), said(UNSAID, { pauseMs: 2000 }));
  gate.hear(upstream(100), said(UNSAID, { pauseMs: 500 }));
  t.deepEqual(gate.blockOf(upstream(100), 600), { reason: 'paused', opensInMs: 1400 });
  t.is(gate.blockOf(upstream(200), 600), undefined);
  t.is(gate.blockOf(upstream(100), 2000), undefined);
});

test('a pause is between an upstream and one entry: others are not told', (t) => {
  const gate = gateWith(new VirtualClock());
  gate.hear(upstream(), said(UNSAID, { pauseMs: 2000 }));
  t.deepEqual(gate.report(), []);
});
