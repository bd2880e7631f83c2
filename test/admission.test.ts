import test from 'ava';
import {
  admission,
  startAdmission,
  type AdmissionEvent,
  type AdmissionPolicy,
  type Offer,
} from '../src/core/admission/index.js';
import type { KindName } from '../src/base/index.js';
import type { Customer, Kind } from '../src/core/document/index.js';
import { defaultCurve, stepMs } from '../standin/index.js';
import { session, type TimedEvent } from './support/session.js';

const KINDS: readonly Kind[] = [
  {
    name: 'classify' as KindName,
    priority: 'urgent',
    deadlineMs: 1400,
    weight: 2,
    repeatable: true,
  },
  { name: 'notice' as KindName, priority: 'normal', deadlineMs: 4000, weight: 4, repeatable: true },
  {
    name: 'bulk' as KindName,
    priority: 'background',
    deadlineMs: 120_000,
    weight: 4,
    repeatable: true,
    longJob: true,
  },
];

const POLICY: AdmissionPolicy = {
  type: 'engine',
  kinds: KINDS,
  customers: [
    { id: 'council' as Customer['id'], share: 3 },
    { id: 'mover' as Customer['id'], share: 1 },
  ],
  slots: 2,
  paceGoalMs: 53,
  longJobs: 1,
  queueLimit: 20,
};

function offer(requestId: string, kind: string, changes: Partial<Offer> = {}): AdmissionEvent {
  const remainingMs = KINDS.find(({ name }) => name === kind)?.deadlineMs ?? 0;
  const request = { requestId, kind, remainingMs, customer: 'council', model: 'notice-1' };
  return {
    type: 'offered',
    offer: { ...request, promptTokens: 100, maxTokens: 0, resumed: false, ...changes },
  };
}

function released(requestId: string, tokenCount: number): AdmissionEvent {
  return { type: 'released', requestId, outcome: 'answered', tokenCount };
}

const at = (atMs: number, event: AdmissionEvent): TimedEvent<AdmissionEvent> => ({ atMs, event });

test('under overload, requests that cannot meet their deadline are refused at once with a retry-after time', (t) => {
  const happenings = [
    at(0, offer('a', 'notice')),
    at(0, offer('b', 'notice')),
    ...Array.from({ length: 12 }, (_, index) => at(10 + index, offer(`c${index}`, 'notice'))),
    at(500, { type: 'answering', requestId: 'a' }),
    at(3000, released('a', 150)),
    at(3500, { type: 'ticked' }),
    at(3980, { type: 'ticked' }),
  ];
  session(t, 'admission-overload', admission, startAdmission(POLICY), happenings);
});

test('requests of a customer that exceeds its share wait behind requests within the shares of others', (t) => {
  const many = Array.from({ length: 10 }, (_, index) =>
    at(index, offer(`council-${index}`, 'notice', { remainingMs: 60_000 })),
  );
  const few = Array.from({ length: 3 }, (_, index) =>
    at(20 + index, offer(`mover-${index}`, 'notice', { customer: 'mover', remainingMs: 60_000 })),
  );
  const order = ['council-0', 'council-1', 'council-2', 'council-3', 'council-4', 'mover-0'];
  const ends = order.map((requestId, index) => at(1000 * (index + 1), released(requestId, 100)));
  const happenings = [...many, ...few, ...ends];
  session(t, 'admission-dominating-customer', admission, startAdmission(POLICY), happenings);
});

test('long jobs are preempted for urgent requests and resumed afterwards', (t) => {
  const policy = { ...POLICY, slots: 3, longJobs: 2 };
  const urgent = ['u1', 'u2', 'u3', 'u4'].map((requestId) =>
    at(1000, offer(requestId, 'classify', { remainingMs: 300 })),
  );
  const happenings = [
    at(0, offer('long-1', 'bulk')),
    at(1, offer('long-2', 'bulk')),
    at(2, offer('long-3', 'bulk')),
    at(3, offer('n1', 'notice')),
    at(4, offer('n2', 'notice')),
    ...urgent,
    at(1050, {
      type: 'released',
      requestId: 'long-1',
      outcome: 'preempted',
      tokenCount: 20,
    } as const),
    at(1050, offer('long-1', 'bulk', { resumed: true, remainingMs: 118_950 })),
    at(1200, released('u1', 8)),
    at(1210, released('u2', 8)),
    at(1220, released('u3', 8)),
    at(1230, released('n1', 8)),
    at(1240, released('n2', 8)),
  ];
  session(t, 'admission-long-jobs', admission, startAdmission(policy), happenings);
});

/**
 * Fills the queue, then reports the time between tokens of a simulated engine: the stand-in's curve for the number of
 * running requests, three times slower from the eleventh second on.
 */
function slowEngineEvents(policy: AdmissionPolicy): TimedEvent<AdmissionEvent>[] {
  const state = startAdmission(policy);
  const happenings: TimedEvent<AdmissionEvent>[] = [];
  const send = (atMs: number, event: AdmissionEvent) => {
    happenings.push(at(atMs, event));
    admission(state, event, atMs);
  };
  for (let index = 0; index < 60; index += 1) {
    send(index, offer(`r${index}`, 'notice', { remainingMs: 600_000 }));
  }
  for (let second = 1; second <= 30; second += 1) {
    const factor = second <= 10 ? 1 : 3;
    const gapMs = factor * stepMs(defaultCurve, state.running.size);
    send(1000 * second, { type: 'paced', gapMs, tokenCount: 100 });
    const [first = ''] = state.running.keys();
    send(1000 * second + 500, released(first, 100));
  }
  return happenings;
}

test('the concurrency limit of an engine that slows down is reduced', (t) => {
  const policy = { ...POLICY, slots: 8, queueLimit: 100 };
  const happenings = slowEngineEvents(policy);
  const state = session(t, 'admission-slow-engine', admission, startAdmission(policy), happenings);
  t.true(3 * stepMs(defaultCurve, state.running.size) <= 1.1 * policy.paceGoalMs);
});

test('an abandoned request leaves the queue and is never started', (t) => {
  const happenings = [
    at(0, offer('a', 'notice')),
    at(0, offer('b', 'notice')),
    at(1, offer('c', 'notice')),
    at(2, offer('d', 'notice')),
    at(100, { type: 'abandoned', requestId: 'c' } as const),
    at(200, released('a', 10)),
    at(300, { type: 'abandoned', requestId: 'c' } as const),
  ];
  session(t, 'admission-caller-gone', admission, startAdmission(POLICY), happenings);
});

test('a new configuration applies to requests that are already queued', (t) => {
  const happenings = [
    at(0, offer('a', 'notice')),
    at(0, offer('b', 'notice')),
    at(1, offer('c', 'notice')),
    at(2, offer('d', 'notice')),
    at(100, { type: 'configured', policy: { ...POLICY, slots: 4 } } as const),
    at(200, { type: 'configured', policy: { ...POLICY, queueLimit: 0 } } as const),
    at(300, offer('e', 'notice')),
  ];
  session(t, 'admission-document-change', admission, startAdmission(POLICY), happenings);
});

test('requests for a model that is being loaded wait for it if their deadline allows', (t) => {
  const model = 'notice-2';
  const happenings = [
    at(0, { type: 'model', model, phase: 'loading', readyInMs: 2000 } as const),
    at(10, offer('a', 'notice', { model })),
    at(20, offer('b', 'classify', { model })),
    at(30, offer('c', 'notice')),
    at(1900, { type: 'model', model, phase: 'ready', readyInMs: 0 } as const),
    at(2000, { type: 'model', model, phase: 'absent', readyInMs: 0 } as const),
    at(2010, offer('d', 'notice', { model })),
  ];
  session(t, 'admission-model-loading', admission, startAdmission(POLICY), happenings);
});
