import test from 'ava';
import fc from 'fast-check';
import {
  LANES,
  admission,
  startAdmission,
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionPolicy,
} from '../src/core/admission/index.js';
import type { KindName } from '../src/base/index.js';
import type { Customer, Kind } from '../src/core/document/index.js';

const SEED = 20_261_202;
const RUNS = 400;
const LIMIT = 4;
const URGENT_LIMIT = 5;

const KINDS: readonly Kind[] = [
  { name: 'u' as KindName, priority: 'urgent', deadlineMs: 1400, weight: 2, repeatable: true },
  { name: 'n' as KindName, priority: 'normal', deadlineMs: 4000, weight: 4, repeatable: false },
  {
    name: 'b' as KindName,
    priority: 'background',
    deadlineMs: 60_000,
    weight: 1,
    repeatable: true,
    longJob: true,
  },
];

const POLICY: AdmissionPolicy = {
  type: 'engine',
  kinds: KINDS,
  customers: ['x', 'y', 'z'].map((id, share) => ({ id: id as Customer['id'], share: share + 1 })),
  slots: LIMIT,
  paceGoalMs: 53,
  longJobs: 1,
  queueLimit: 12,
};

interface Action {
  readonly type: 'offer' | 'release' | 'abandon' | 'wait' | 'model';
  readonly pick: number;
  readonly kind: Kind;
  readonly customer: string;
  readonly phase: 'ready' | 'loading' | 'absent';
}

/** Offers are more frequent than releases, so that the queue fills. */
const TYPES: readonly Action['type'][] = [
  ...new Array<Action['type']>(6).fill('offer'),
  'release',
  'release',
  'abandon',
  'wait',
  'model',
];

const ACTIONS = fc.array(
  fc.record<Action>({
    type: fc.constantFrom(...TYPES),
    pick: fc.nat(3000),
    kind: fc.constantFrom(...KINDS),
    customer: fc.constantFrom('x', 'y', 'z'),
    phase: fc.constantFrom('ready', 'ready', 'loading', 'absent'),
  }),
  { maxLength: 120 },
);

/** Drives the admission core as the sidecar does, and records how each request ended. */
class Driver {
  readonly state = startAdmission(POLICY);

  readonly ends = new Map<string, string[]>();

  readonly waiting = new Set<string>();

  readonly running = new Set<string>();

  private readonly offers = new Map<string, AdmissionEvent>();

  /** Preempted requests: they have run, so they may be refused only because their model is absent. */
  private readonly preempted = new Set<string>();

  private nowMs = 0;

  private count = 0;

  act({ type, pick, kind, customer, phase }: Action): void {
    this.nowMs += pick % 40;
    const pickFrom = (from: Set<string>) => [...from][pick % Math.max(1, from.size)];
    const handlers = {
      offer: () => this.offer(kind, customer, pick % 2 === 0 ? 'm1' : 'm2'),
      release: () => this.release(pickFrom(this.running), 'answered'),
      abandon: () => this.abandon(pickFrom(this.waiting)),
      wait: () => this.wait(pick),
      model: () => this.send({ type: 'model', model: 'm2', phase, readyInMs: pick }),
    };
    handlers[type]();
  }

  drain(): void {
    this.send({ type: 'model', model: 'm2', phase: 'ready', readyInMs: 0 });
    while (this.running.size > 0) this.release([...this.running][0], 'answered');
  }

  private wait(ms: number): void {
    this.nowMs += ms;
    if (this.nowMs >= this.state.wakeAtMs) this.send({ type: 'ticked' });
  }

  private offer(kind: Kind, customer: string, model: string): void {
    this.count += 1;
    const requestId = `r${this.count}`;
    const request = { requestId, customer, model, kind: kind.name, remainingMs: kind.deadlineMs };
    const offer = { ...request, promptTokens: 10, maxTokens: 0, resumed: false };
    this.offers.set(requestId, { type: 'offered', offer });
    this.ends.set(requestId, []);
    this.waiting.add(requestId);
    this.send({ type: 'offered', offer });
  }

  private abandon(requestId: string | undefined): void {
    if (!requestId) return;
    this.waiting.delete(requestId);
    this.ends.get(requestId)?.push('abandoned');
    this.send({ type: 'abandoned', requestId });
  }

  private release(requestId: string | undefined, outcome: 'answered' | 'preempted'): void {
    if (!requestId) return;
    this.running.delete(requestId);
    if (outcome === 'answered') this.ends.get(requestId)?.push('answered');
    this.send({ type: 'released', requestId, outcome, tokenCount: 5 });
  }

  private send(event: AdmissionEvent): void {
    for (const effect of admission(this.state, event, this.nowMs).effects) this.apply(effect);
  }

  private refused(requestId: string, failure: string): void {
    const ends = this.ends.get(requestId);
    ends?.push('refused');
    if (this.preempted.has(requestId) && failure !== 'model-absent') ends?.push('begun');
  }

  private apply(effect: AdmissionEffect): void {
    if (effect.type === 'wake') return;
    const { requestId } = effect;
    if (effect.type === 'preempt') {
      this.release(requestId, 'preempted');
      const event = this.offers.get(requestId);
      if (event?.type !== 'offered') return;
      this.waiting.add(requestId);
      this.preempted.add(requestId);
      this.send({ type: 'offered', offer: { ...event.offer, resumed: true, remainingMs: 0 } });
      return;
    }
    if (!this.waiting.delete(requestId)) this.ends.get(requestId)?.push(`stray ${effect.type}`);
    if (effect.type === 'start') this.running.add(requestId);
    else this.refused(effect.requestId, effect.failure);
  }
}

function check(name: string, holds: (driver: Driver) => boolean, onlyAtEnd: boolean): void {
  test(name, (t) => {
    const property = fc.property(ACTIONS, (actions) => {
      const driver = new Driver();
      for (const action of actions) {
        driver.act(action);
        if (!onlyAtEnd && !holds(driver)) return false;
      }
      if (onlyAtEnd) driver.drain();
      return holds(driver);
    });
    t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: RUNS }));
  });
}

check(
  'no more requests run than the limit allows, and no more long jobs than configured',
  ({ state, running }) =>
    running.size === state.running.size &&
    running.size <= URGENT_LIMIT &&
    [...state.running.values()].filter(({ longJob }) => longJob).length <= POLICY.longJobs,
  false,
);

check(
  'no slot stays free while a short request is queued',
  ({ state }) => {
    const shortWaiting = state.lanes.some(
      (lane, index) => !LANES[index]!.longJobs && lane.count > 0,
    );
    return state.running.size >= LIMIT || !shortWaiting;
  },
  false,
);

check(
  'the queue holds exactly the requests that were neither started nor ended',
  ({ state, waiting }) =>
    waiting.size === state.waiting.size && [...waiting].every((id) => state.waiting.has(id)),
  false,
);

check(
  'every request ends exactly once',
  ({ ends, waiting }) => waiting.size === 0 && [...ends.values()].every((end) => end.length === 1),
  true,
);

test('customers that all have requests queued are served in proportion to their shares', (t) => {
  const policy = { ...POLICY, slots: 1, queueLimit: 1000 };
  const state = startAdmission(policy);
  const offers = ['x', 'y', 'z'].flatMap((customer) =>
    Array.from({ length: 120 }, (_, index) => ({ customer, requestId: `${customer}${index}` })),
  );
  for (const { customer, requestId } of offers) {
    const request = { requestId, customer, model: 'm', kind: 'n', remainingMs: 1e9 };
    const offer = { ...request, promptTokens: 10, maxTokens: 0, resumed: false };
    admission(state, { type: 'offered', offer }, 0);
  }
  const served = { x: 0, y: 0, z: 0 };
  for (let round = 1; round <= 120; round += 1) {
    const [requestId = ''] = state.running.keys();
    served[requestId[0] as 'x' | 'y' | 'z'] += 1;
    const event = { type: 'released', requestId, outcome: 'answered', tokenCount: 20 } as const;
    admission(state, event, round * 1000);
  }
  t.true(Math.abs(served.x - 20) <= 3, `x ${served.x}`);
  t.true(Math.abs(served.y - 40) <= 4, `y ${served.y}`);
  t.true(Math.abs(served.z - 60) <= 5, `z ${served.z}`);
});
