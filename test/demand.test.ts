import test from 'ava';
import type { ModelId, Ms, ServiceId } from '../src/base/index.js';
import { DemandEstimator } from '../src/direct/orders/demandestimator.js';
import { DemandMeter } from '../src/direct/orders/demandmeter.js';
import type { DemandReport } from '../src/direct/orders/demandreport.js';

const SERVICE = 's' as ServiceId;
const MODEL = 'm1' as ModelId;
const REPORT_MS = 100;
const RETURN_MS = 1000;

type ModelReport = DemandReport['models'][number];

function report(counts: Partial<ModelReport>): DemandReport {
  const none = { arrivals: 0, ended: 0, running: 4, waiting: 0, adapters: [], busyAdapters: [] };
  const models = [{ service: SERVICE, model: MODEL, ...none, ...counts }];
  return { entry: 'e', address: 'a', models, lost: [] };
}

/** Returns the demand after `forMs` of the same reports. */
function demandAfter(
  book: DemandEstimator,
  forMs: Ms,
  countsAt: (nowMs: Ms) => Partial<ModelReport>,
): { concurrency: number; perSecond: number } {
  for (let nowMs = 0; nowMs <= forMs; nowMs += REPORT_MS) {
    book.advance(nowMs);
    book.take(report(countsAt(nowMs)), nowMs);
  }
  return book.estimate(SERVICE, forMs, () => true).get(MODEL)!;
}

/** 20 first tries a second, of which a share is refused and returns a second later; all returns are refused too. */
function withRefusals(refusedPerReport: number) {
  return (nowMs: Ms): Partial<ModelReport> => {
    const returns = nowMs >= RETURN_MS ? refusedPerReport : 0;
    const refusedFull = refusedPerReport > 0 ? { refusedFull: refusedPerReport } : {};
    return { arrivals: 2 + returns, ended: 1, ...refusedFull };
  };
}

// Guards against demand that grows with the refusals it causes: a refused caller arrives twice.
test('a caller that is refused for full replicas and returns counts once', (t) => {
  const plain = demandAfter(new DemandEstimator(() => true), 20_000, withRefusals(0));
  const refused = demandAfter(new DemandEstimator(() => true), 20_000, withRefusals(1));
  t.log({ plain: plain.perSecond, refused: refused.perSecond });
  t.true(Math.abs(refused.perSecond - plain.perSecond) < 0.15 * plain.perSecond);
});

// Guards against demand that lags while the callers of a burst wait to return.
test('a first try that is refused counts when it arrives, not when it returns', (t) => {
  const plain = demandAfter(new DemandEstimator(() => true), 800, withRefusals(0));
  const refused = demandAfter(new DemandEstimator(() => true), 800, withRefusals(2));
  t.true(refused.perSecond > 0.8 * plain.perSecond);
});

// Guards against a model with a long queue that gets no further replica because its arrivals have become few.
test('requests that wait for full replicas count as demand', (t) => {
  const few = { arrivals: 1, ended: 1, running: 8 };
  const plain = demandAfter(new DemandEstimator(() => true), 10_000, () => few);
  const queued = demandAfter(new DemandEstimator(() => true), 10_000, () => ({
    ...few,
    waiting: 40,
  }));
  t.true(queued.perSecond > plain.perSecond + 8);
  t.true(queued.concurrency > plain.concurrency);
});

// Guards against all models that seem slow because requests of one wait.
test('a queue does not change the estimated duration of a request', (t) => {
  const counts = { arrivals: 4, ended: 4, running: 20 };
  const ratio = (waiting: number) => {
    const book = new DemandEstimator(() => true);
    const demand = demandAfter(book, 10_000, () => ({ ...counts, waiting }));
    return demand.concurrency / demand.perSecond;
  };
  t.true(Math.abs(ratio(40) - ratio(0)) < 0.01);
});

test('for a service that is not load-aware refusals and queues change nothing', (t) => {
  const counts = { arrivals: 3, ended: 2, running: 8 };
  const plain = demandAfter(new DemandEstimator(), 10_000, () => counts);
  const refused = demandAfter(new DemandEstimator(), 10_000, () => ({ ...counts, refusedFull: 2 }));
  t.deepEqual(refused, plain);
});

test('a meter reports the first tries refused since its last report, and nothing where there are none', (t) => {
  const meter = new DemandMeter('e', 'a');
  const target = { service: SERVICE, model: MODEL };
  meter.refusedFull(target);
  meter.refusedFull(target);
  t.is(meter.report().models[0]!.refusedFull, 2);
  meter.arrived(target);
  t.false('refusedFull' in meter.report().models[0]!);
  t.deepEqual(meter.report().models, []);
});

// Guards against replicas that are kept at a version for good, and against ones that no stream asked for.
test('streams count as waiting at their version while requests ask for it, and for a limited time after', (t) => {
  const book = new DemandEstimator();
  const continuedAt = (nowMs: Ms) =>
    book.estimate(SERVICE, nowMs, () => true).get(MODEL)?.continuedAt;
  book.wanted(SERVICE, MODEL, 0);
  t.is(continuedAt(0), undefined);
  book.wanted(SERVICE, MODEL, 0, 'v1');
  book.wanted(SERVICE, MODEL, 4000, 'v1.1');
  t.deepEqual([...continuedAt(5000)!], ['v1', 'v1.1']);
  t.deepEqual([...continuedAt(9000)!], ['v1.1']);
  t.is(continuedAt(20_000), undefined);
});
