import test from 'ava';
import { VirtualClock, type KindName, type ServiceId } from '../src/base/index.js';
import type { Kind, ServiceDocument } from '../src/core/document/index.js';
import { QueueAdmission, policyOf } from '../src/sidecar/admission/index.js';
import { UnmanagedResidency } from '../src/sidecar/unmanagedresidency.js';
import { RequestHead, type Resident } from '../src/wire/index.js';

const KINDS: readonly Kind[] = [
  { name: 'code' as KindName, priority: 'urgent', deadlineMs: 1400, weight: 2, repeatable: true },
  {
    name: 'long' as KindName,
    priority: 'background',
    deadlineMs: 60_000,
    weight: 1,
    repeatable: true,
    longJob: true,
  },
];

const SETTINGS = { slots: 1, upstream: 'redactor-1', upstreamType: 'engine' } as const;

const DOCUMENT = {
  service: 'reenvio' as ServiceId,
  kinds: KINDS,
  customers: [],
  groups: [{ slots: 2, upstreams: [{ id: 'redactor-1' }] }],
  limits: { longJobsPerUpstream: 2, queuePerUpstream: 9 },
} as unknown as ServiceDocument;

/** Residency with one model, which is being loaded at first. */
class LoadingResidency extends UnmanagedResidency {
  phase = 'loading';

  override residents(): readonly Resident[] {
    return [{ model: 'm', version: '1', adapters: [], phase: this.phase, sizeBytes: 1 }];
  }

  expectedReadyMs(): number {
    return 400;
  }
}

function build(residency = new UnmanagedResidency(), slots = 1) {
  const clock = new VirtualClock();
  const counts: string[] = [];
  const metrics = {
    count: (name: string) => {
      counts.push(name);
    },
    gauge: () => {},
    histogram: () => {},
  };
  const policy = { ...policyOf({ ...SETTINGS, slots }), kinds: KINDS };
  return { clock, counts, admission: new QueueAdmission({ clock, metrics, residency, policy }) };
}

function head(kind: string, deadlineMs: number): RequestHead {
  return RequestHead.fromPartial({ customer: 'c', kind, model: 'm', deadlineMs });
}

const NEVER_ABORTED = new AbortController().signal;

test('a long job is pre-empted by an urgent request and gets a slot again afterwards', async (t) => {
  const { admission, counts } = build(new UnmanagedResidency(), 2);
  const long = (await admission.offer('long', head('long', 60_000), NEVER_ABORTED)).unwrap();
  const first = (await admission.offer('u0', head('code', 1400), NEVER_ABORTED)).unwrap();
  const more = (await admission.offer('u1', head('code', 1400), NEVER_ABORTED)).unwrap();
  const urgent = admission.offer('u2', head('code', 300), NEVER_ABORTED);
  t.true(long.preempted.aborted);
  t.deepEqual(counts, ['admission.preempted']);
  long.release('preempted');
  const again = admission.offer('long', head('long', 0), NEVER_ABORTED);
  (await urgent).unwrap().release('answered');
  more.release('answered');
  first.release('answered');
  t.true((await again).ok);
});

test('a request that cannot meet its deadline is refused at once with a retry-after time', async (t) => {
  const { admission } = build();
  await admission.offer('a', head('', 60_000), NEVER_ABORTED);
  const refusal = (await admission.offer('b', head('', 120), NEVER_ABORTED)).val;
  t.like(refusal, { type: 'deadline-unmeetable', executed: 1 });
  t.true('retryAfterMs' in refusal && refusal.retryAfterMs > 0);
});

test('a queued request is refused by a timer when it can no longer meet its deadline', async (t) => {
  const { admission, clock } = build();
  await admission.offer('a', head('', 60_000), NEVER_ABORTED);
  const waiting = admission.offer('b', head('', 3000), NEVER_ABORTED);
  clock.advanceTo(2950);
  t.is((await waiting).ok, false);
  t.is(admission.load().queued, 0);
});

test('a queued request leaves the queue when its caller disconnects', async (t) => {
  const { admission } = build();
  await admission.offer('a', head('', 60_000), NEVER_ABORTED);
  const gone = new AbortController();
  const waiting = admission.offer('b', head('', 60_000), gone.signal);
  t.is(admission.load().queued, 1);
  gone.abort();
  t.like((await waiting).val, { type: 'cancelled' });
  t.is(admission.load().queued, 0);
});

test('a changed document applies to queued requests', async (t) => {
  const { admission } = build();
  await admission.offer('a', head('', 60_000), NEVER_ABORTED);
  const waiting = admission.offer('b', head('', 60_000), NEVER_ABORTED);
  admission.configure(policyOf(SETTINGS, DOCUMENT));
  t.true((await waiting).ok);
  t.is(admission.load().slots, 2);
});

test('a request is queued while its model is being loaded, unless its deadline is too close', async (t) => {
  const residency = new LoadingResidency();
  const { admission, clock } = build(residency);
  const waiting = admission.offer('a', head('', 2000), NEVER_ABORTED);
  const late = await admission.offer('b', head('', 200), NEVER_ABORTED);
  t.like(late.val, { type: 'model-absent' });
  residency.phase = 'ready';
  clock.advanceTo(60);
  t.true((await waiting).ok);
});
