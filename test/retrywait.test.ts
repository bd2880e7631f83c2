import test from 'ava';
import { retryExcess } from '../bench/soak/retryexcess.js';
import { RunRig } from './support/runrig.js';

const BOUND = { ratio: 0.2, slack: 20, windowMs: 10_000 };
const REQUESTS = 100;

/** Starts a rig in which retries wait because no upstream has their model. */
async function startWaiting(): Promise<RunRig> {
  const rig = new RunRig(BOUND);
  rig.refusing.add('u1');
  rig.add('u1');
  const asked = rig.ask(REQUESTS);
  rig.remove('u1');
  await asked;
  return rig;
}

// Guards against retries that wait together and arrive in a window in which others are sent as well.
test('retries that waited count in the window in which they are sent', async (t) => {
  const rig = await startWaiting();
  await rig.pass(9900);
  rig.add('u2');
  await rig.setLoaded();
  await rig.pass(200);
  rig.refusing.add('u2');
  rig.add('u3');
  await rig.ask(REQUESTS);
  t.true(rig.retryTimes.length >= BOUND.ratio * REQUESTS);
  t.true(retryExcess(rig.requestTimes, rig.retryTimes, BOUND) <= 0);
});

// Guards against retries for which the window of their decision had room and that of their send has none.
test('a retry is refused if the budget is spent when it is to be sent', async (t) => {
  const rig = await startWaiting();
  await rig.pass(25_000);
  rig.add('u2');
  await rig.setLoaded();
  await rig.pass(200);
  t.true(rig.retryTimes.length > 0);
  t.true(retryExcess(rig.requestTimes, rig.retryTimes, BOUND) <= 0);
  t.is(rig.statuses.length, REQUESTS);
  t.deepEqual([...new Set(rig.statuses)].sort(), [200, 503]);
});

// Guards against retries that are charged twice because their upstream left while a connection to it was being opened.
test('a retry that is withheld keeps its charge for the next upstream', async (t) => {
  const rig = await startWaiting();
  rig.openMs = 50;
  rig.add('u2');
  await rig.setLoaded();
  await rig.pass(20);
  rig.remove('u2');
  await rig.pass(100);
  t.is(rig.retryTimes.length, 0);
  rig.add('u3');
  await rig.setLoaded();
  await rig.pass(200);
  t.is(rig.retryTimes.length, BOUND.ratio * REQUESTS + BOUND.slack);
  t.is(rig.statuses.length, REQUESTS);
});
