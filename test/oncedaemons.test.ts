import test from 'ava';
import { RunOnceFleet } from './support/runoncefleet.js';

test('daemons: a request with a ticket or an idempotency key runs once, whichever entry it reaches', async (t) => {
  const fleet = new RunOnceFleet();
  await fleet.start();
  const ticket = { 'tarragonstile-ticket': await fleet.ticket() };
  const first = await fleet.confirm(0, 'T-1', ticket);
  const again = await fleet.confirm(1, 'T-1', ticket);
  t.deepEqual(first, { status: 200, body: { done: 'T-1' } });
  t.deepEqual(again, first);
  const other = await fleet.confirm(1, 'T-2', ticket);
  t.is(other.body.type, 'urn:tarragonstile:ticket-mismatch');
  t.is(other.body.executed, 'no');

  const key = { 'idempotency-key': 'transfer-3' };
  const both = await Promise.all([fleet.confirm(0, 'T-3', key), fleet.confirm(1, 'T-3', key)]);
  for (const reply of both) t.deepEqual(reply, { status: 200, body: { done: 'T-3' } });
  fleet.store.faults.answersToLose = 2;
  const lost = await fleet.confirm(0, 'T-4', { 'idempotency-key': 'transfer-4' });
  t.deepEqual(lost, { status: 200, body: { done: 'T-4' } });
  fleet.store.faults.down = true;
  const down = await fleet.confirm(1, 'T-3', key);
  t.is(down.body.type, 'urn:tarragonstile:idempotency-unknown');
  t.is(down.body.executed, 'unknown');
  fleet.store.faults.down = false;
  t.deepEqual(
    ['T-1', 'T-2', 'T-3', 'T-4'].map((id) => fleet.service.runs(id)),
    [1, 0, 1, 1],
  );
  await fleet.stop();
});

test('daemons: a stopped sidecar hands its ticket table over, and the peer answers for its tickets', async (t) => {
  const fleet = new RunOnceFleet();
  await fleet.start();
  const used = { 'tarragonstile-ticket': await fleet.ticket() };
  const place = /^register-(\d)/.exec(used['tarragonstile-ticket'])?.[1];
  t.deepEqual((await fleet.confirm(0, 'T-5', used)).body, { done: 'T-5' });
  let unused = await fleet.ticket();
  while (!unused.startsWith(`register-${place}`)) unused = await fleet.ticket();
  await fleet.stopSidecar(Number(place));
  // Refusals that the other entry may give until it knows which sidecar has taken the table over.
  const gone = [
    'sidecar-unreachable',
    'sidecar-lost',
    'ticket-upstream-gone',
    'ticket-incarnation-gone',
  ];
  const reply = await fleet.confirmUntilNot(gone, 1, 'T-5', used);
  t.deepEqual(reply, { status: 200, body: { done: 'T-5' } });
  const cancelled = await fleet.confirmUntilNot(gone, 1, 'T-6', { 'tarragonstile-ticket': unused });
  t.is(cancelled.body.type, 'urn:tarragonstile:ticket-cancelled');
  t.is(cancelled.body.executed, 'no');
  t.deepEqual([fleet.service.runs('T-5'), fleet.service.runs('T-6')], [1, 0]);
  await fleet.stop();
});

test('daemons: a plain upstream that the host list shows as leaving runs no new requests', async (t) => {
  const fleet = new RunOnceFleet();
  await fleet.start();
  const used = { 'tarragonstile-ticket': await fleet.ticket() };
  const place = /^register-(\d)/.exec(used['tarragonstile-ticket'])?.[1];
  t.deepEqual((await fleet.confirm(0, 'T-7', used)).body, { done: 'T-7' });
  let unused = await fleet.ticket();
  while (!unused.startsWith(`register-${place}`)) unused = await fleet.ticket();
  fleet.listLeaving(Number(place));
  await fleet.untilLeaving(1, Number(place));
  const reply = await fleet.confirm(1, 'T-8', { 'tarragonstile-ticket': unused });
  t.is(reply.body.type, 'urn:tarragonstile:ticket-cancelled');
  t.is(reply.body.executed, 'no');
  t.deepEqual((await fleet.confirm(1, 'T-7', used)).body, { done: 'T-7' });
  const next = await fleet.ticket();
  t.false(next.startsWith(`register-${place}`));
  t.is(fleet.service.runs('T-8'), 0);
  await fleet.stop();
});
