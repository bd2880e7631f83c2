import test from 'ava';
import type { CustomerId, Incarnation, ServiceId, UpstreamId } from '../src/base/index.js';
import {
  exportTable,
  openTable,
  stepTable,
  ticketName,
  type TableEffect,
  type TableEvent,
  type TableState,
} from '../src/core/ticket/index.js';
import { Executed } from '../src/wire/index.js';

const UPSTREAM = 'registru-central-1' as UpstreamId;
const SECRET = 'aaaaaaaaaaaaaaaaaaaaaa';
const LIMITS = { tableBytes: 10_000, answerBytes: 5000, maxValidMs: 60_000 };
const customer = 'ministry' as CustomerId;
const service = 'registru-central' as ServiceId;

class Table {
  state: TableState;

  constructor(incarnation = 1, upstream = UPSTREAM) {
    this.state = openTable(upstream, incarnation as Incarnation, LIMITS, 0);
  }

  do(event: TableEvent, nowMs = 0): readonly TableEffect[] {
    const change = stepTable(this.state, event, nowMs);
    this.state = change.state;
    return change.effects;
  }

  issue(secret = SECRET, validMs = 0, nowMs = 0): string {
    const [effect] = this.do(
      { type: 'issue', callId: 'i', customer, service, validMs, secret },
      nowMs,
    );
    return effect?.type === 'issued' ? effect.reply.ticket : JSON.stringify(effect);
  }

  begin(ticket: string, callId: string, nowMs = 0, requestHash = 'h', from = customer) {
    const [effect] = this.do(
      { type: 'begin', callId, ticket, customer: from, service, requestHash },
      nowMs,
    );
    return effect;
  }

  answer(ticket: string, text = 'done', nowMs = 0) {
    const body = Buffer.from(text);
    const answer = { status: 200, headers: [], body, pieceBytes: [body.length] };
    return this.do({ type: 'finish', ticket, end: { type: 'answered', answer } }, nowMs);
  }
}

function refusal(effect: TableEffect | undefined): string {
  if (effect?.type !== 'refuse') return String(effect?.type);
  return `${effect.refusal.type} ${Executed[effect.refusal.executed]}`;
}

test('a repeated request waits for the running one, and later ones get the recorded answer', (t) => {
  const table = new Table();
  const ticket = table.issue();
  t.is(table.begin(ticket, 'a')?.type, 'run');
  t.is(table.begin(ticket, 'b'), undefined);
  const effects = table.answer(ticket);
  t.deepEqual(
    effects.map(({ type, callId }) => [type, callId]),
    [['replay', 'b']],
  );
  t.is(table.begin(ticket, 'c')?.type, 'replay');
});

test('a ticket is valid for one customer and one request only', (t) => {
  const table = new Table();
  const ticket = table.issue();
  const other = table.begin(ticket, 'a', 0, 'h', 'county' as CustomerId);
  t.is(refusal(other), 'ticket-not-yours EXECUTED_NO');
  t.is(table.begin(ticket, 'b')?.type, 'run');
  t.is(refusal(table.begin(ticket, 'c', 0, 'other')), 'ticket-mismatch EXECUTED_NO');
});

test('a request that was not sent may be retried until its ticket expires', (t) => {
  const table = new Table();
  const ticket = table.issue(SECRET, 1000);
  t.is(table.begin(ticket, 'a')?.type, 'run');
  t.is(table.begin(ticket, 'b'), undefined);
  const [waiter] = table.do({ type: 'finish', ticket, end: { type: 'none' } }, 10);
  t.is(refusal(waiter), 'ticket-not-run EXECUTED_NO');
  t.is(table.begin(ticket, 'c', 999)?.type, 'run');
  const [late] = table.do({ type: 'start', callId: 'c', ticket }, 1000);
  t.is(refusal(late), 'ticket-expired EXECUTED_NO');
  table.do({ type: 'finish', ticket, end: { type: 'none' } }, 1000);
  t.is(refusal(table.begin(ticket, 'd', 1001)), 'ticket-expired EXECUTED_NO');
  table.do({ type: 'sweep' }, 3000);
  t.is(refusal(table.begin(ticket, 'e', 3000)), 'ticket-forgotten EXECUTED_UNKNOWN');
  t.is(table.state.usedBytes, 0);
});

test('the outcome of a run that broke off stays unknown', (t) => {
  const table = new Table();
  const ticket = table.issue();
  table.begin(ticket, 'a');
  table.do({ type: 'finish', ticket, end: { type: 'unknown' } });
  t.is(refusal(table.begin(ticket, 'b')), 'outcome-unknown EXECUTED_UNKNOWN');
});

test('at the memory limit old answers are dropped, then new tickets are refused with a correct retry-after', (t) => {
  const table = new Table();
  const tickets = Array.from({ length: 4 }, (_, index) => table.issue(`${SECRET}${index}`));
  for (const ticket of tickets) {
    table.begin(ticket, ticket);
    table.answer(ticket, 'x'.repeat(2000));
  }
  t.true(table.state.usedBytes <= LIMITS.tableBytes);
  const [oldest = '', , , newest = ''] = tickets;
  t.is(refusal(table.begin(oldest, 'r')), 'answer-dropped EXECUTED_YES');
  t.is(table.begin(newest, 'r')?.type, 'replay');
  let index = 0;
  while (!table.issue(`${SECRET}n${index}`, 5000).startsWith('{')) index += 1;
  const [full] = table.do({
    type: 'issue',
    callId: 'i',
    customer,
    service,
    validMs: 0,
    secret: 'b'.repeat(22),
  });
  t.is(refusal(full), 'ticket-table-full EXECUTED_NO');
  const waitMs = full?.type === 'refuse' ? full.refusal.retryAfterMs : 0;
  t.true(table.issue('c'.repeat(22), 0, waitMs - 1).startsWith('{'));
  t.false(table.issue('d'.repeat(22), 0, waitMs).startsWith('{'));
});

test('of an answer above the answer limit only the outcome is kept', (t) => {
  const table = new Table();
  const kept = table.issue();
  table.begin(kept, 'a');
  table.answer(kept);
  const large = table.issue('b'.repeat(22));
  table.begin(large, 'b');
  table.answer(large, 'x'.repeat(5000));
  t.is(refusal(table.begin(large, 'c')), 'answer-dropped EXECUTED_YES');
  t.is(table.begin(kept, 'd')?.type, 'replay');
});

test('a planned stop cancels unused tickets, and a peer takes over the outcomes of the others', (t) => {
  const table = new Table();
  const [unused, answered, broken, running] = ['1', '2', '3', '4'].map((n) =>
    table.issue(`${SECRET}${n}`),
  ) as [string, string, string, string];
  for (const ticket of [answered, broken, running]) table.begin(ticket, ticket);
  table.answer(answered);
  table.do({ type: 'finish', ticket: broken, end: { type: 'unknown' } });
  table.do({ type: 'leave' });
  t.is(refusal(table.begin(unused, 'a')), 'ticket-cancelled EXECUTED_NO');
  const heir = new Table(7, 'registru-central-2' as UpstreamId);
  t.is(refusal(heir.begin(answered, 'z')), 'ticket-incarnation-gone EXECUTED_UNKNOWN');
  const pieces = [...exportTable(table.state, 1, 100)];
  t.deepEqual(
    pieces.map(({ last }) => last),
    [false, false, false, true],
  );
  for (const piece of pieces) {
    const incarnation = piece.incarnation as Incarnation;
    heir.do({ type: 'adopt', callId: 'x', upstream: UPSTREAM, incarnation, table: piece }, 200);
  }
  t.is(refusal(heir.begin(unused, 'b')), 'ticket-cancelled EXECUTED_NO');
  t.is(heir.begin(answered, 'c')?.type, 'replay');
  t.is(refusal(heir.begin(broken, 'd')), 'outcome-unknown EXECUTED_UNKNOWN');
  t.is(refusal(heir.begin(running, 'e')), 'outcome-unknown EXECUTED_UNKNOWN');
});

test('a leaving sidecar cancels the ticket of a request that it did not send', (t) => {
  const table = new Table();
  const ticket = table.issue();
  table.begin(ticket, 'a');
  table.do({ type: 'leave' });
  table.do({ type: 'finish', ticket, end: { type: 'none' } });
  t.is(refusal(table.begin(ticket, 'b')), 'ticket-cancelled EXECUTED_NO');
});

test('a formatted ticket parses to the same parts, and malformed tickets do not parse', (t) => {
  const name = { upstream: 'a.b/ș' as UpstreamId, incarnation: 12 as Incarnation, secret: SECRET };
  t.deepEqual(ticketName.read(ticketName.write(name)), name);
  t.is(ticketName.read('a.1.short'), undefined);
  t.is(ticketName.read(`%E0%A4%A.1.${SECRET}`), undefined);
});
