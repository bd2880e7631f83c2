import test from 'ava';
import fc from 'fast-check';
import {
  ejectionRules,
  initialEjection,
  onEndless,
  onRejected,
  onSound,
  probe,
  type EjectionState,
} from '../src/core/ejection/index.js';

const { firstMs, maxMs, unrepeatableMs, reprobeMs, endlessCount, forgetCount } = ejectionRules;
const RUNS = 2000;

/** Rejects an answer to one probe after the other, each as soon as it is due. */
function rejectedTimes(count: number): { readonly state: EjectionState; readonly forMs: number[] } {
  let state = initialEjection();
  const forMs: number[] = [];
  for (let at = 0, nowMs = 1; at < count; at += 1, nowMs = state.untilMs + 1) {
    state = onRejected(state, nowMs - 1, nowMs);
    forMs.push(state.untilMs - nowMs);
  }
  return { state, forMs };
}

// Guards against one crossed answer that costs much capacity, and against a faulty upstream that is probed often.
test('ejections begin short, double with each rejection and are bounded', (t) => {
  const { forMs } = rejectedTimes(8);
  t.deepEqual(forMs, [200, 400, 800, 1600, 3200, 6400, 10_000, 10_000]);
});

// Guards against answers that were under way at once, and make one fault count as many.
test('requests that were under way at a rejection are no further evidence', (t) => {
  const state = onRejected(initialEjection(), 0, 10);
  t.is(onRejected(state, 5, 12), state);
  t.is(onSound(state, 5), state);
  t.is(onEndless(state, 5, 5000), state);
});

// Guards against a long ejection of upstreams that get requests all the same, because all are ejected.
test('a rejection before a probe is due does not prolong an ejection', (t) => {
  const state = onRejected(initialEjection(), 0, 10);
  const later = onRejected(state, 11, 12);
  t.deepEqual(later, { ...state, rejectedAtMs: 12 });
  t.is(onRejected(later, state.untilMs, state.untilMs + 1).rejectedCount, 2);
});

// Guards against an upstream that stays out of service although it is sound.
test('a sound answer ends an ejection, and many of them are followed by a short one', (t) => {
  let { state } = rejectedTimes(7);
  const sentAtMs = state.untilMs;
  state = onSound(state, sentAtMs);
  t.false(state.isEjected);
  t.is(onRejected(state, sentAtMs, sentAtMs + 1).untilMs - sentAtMs - 1, maxMs);
  for (let count = 1; count < forgetCount; count += 1) state = onSound(state, sentAtMs);
  t.is(onRejected(state, sentAtMs, sentAtMs + 1).untilMs - sentAtMs - 1, firstMs);
});

// Guards against an upstream that is ejected because one or two of its answers are large or slow.
test('answers without end eject only if several follow each other', (t) => {
  let state = initialEjection();
  for (let at = 1; at < endlessCount; at += 1) state = onEndless(state, at, 4000 + at);
  t.false(state.isEjected);
  t.true(onEndless(state, 10, 5000).isEjected);
  t.false(onEndless(onSound(state, 10), 11, 5000).isEjected);
});

// Guards against a request that cannot be repeated and is lost to a probe while others could be one.
test('requests that may not be repeated are probes only after a long time', (t) => {
  const { untilMs, ...rest } = onRejected(initialEjection(), 0, 1);
  const state = { ...rest, untilMs };
  t.true(probe.isDue(state, true, untilMs));
  t.false(probe.isDue(state, false, untilMs + unrepeatableMs - 1));
  t.true(probe.isDue(state, false, untilMs + unrepeatableMs));
});

interface Step {
  readonly type: 'send' | 'pass' | 'sound' | 'rejected' | 'endless' | 'gone';
  readonly ms: number;
}

const steps = fc.array(
  fc.record<Step>({
    type: fc.constantFrom('send', 'pass', 'sound', 'rejected', 'endless', 'gone'),
    ms: fc.integer({ min: 0, max: 3000 }),
  }),
  { maxLength: 60 },
);

// Guards against an upstream that gets several probes at a time, or none any more.
test('an ejected upstream has one probe at a time, always gets another, and one sound answer restores it', (t) => {
  const play = (events: readonly Step[]) => {
    let state = initialEjection();
    let nowMs = 0;
    const open: { readonly sentAtMs: number; readonly isProbe: boolean }[] = [];
    for (const { type, ms } of events) {
      nowMs += 1;
      if (type === 'pass') nowMs += ms;
      else if (type === 'send') {
        const isProbe = probe.isDue(state, true, nowMs);
        if (isProbe) state = probe.begin(state);
        open.push({ sentAtMs: nowMs, isProbe });
      } else if (open.length > 0) {
        const [{ sentAtMs, isProbe }] = open.splice(ms % open.length, 1) as [(typeof open)[0]];
        if (isProbe) state = probe.end(state, nowMs);
        const isLater = sentAtMs > state.rejectedAtMs;
        if (type === 'sound') state = onSound(state, sentAtMs);
        if (type === 'rejected') state = onRejected(state, sentAtMs, nowMs);
        if (type === 'endless') state = onEndless(state, sentAtMs, nowMs);
        if (type === 'sound' && isLater) t.false(state.isEjected);
        if (type === 'rejected') t.true(state.isEjected || !isLater);
      }
      const probes = open.filter(({ isProbe }) => isProbe).length;
      t.true(probes <= 1);
      t.is(state.isProbed, probes === 1);
      t.true(state.untilMs - nowMs <= maxMs);
      const isServing = !state.isEjected || state.isProbed;
      t.true(isServing || probe.isDue(state, true, nowMs + Math.max(maxMs, reprobeMs)));
    }
  };
  fc.assert(fc.property(steps, play), { numRuns: RUNS, seed: 84 });
  t.pass();
});
