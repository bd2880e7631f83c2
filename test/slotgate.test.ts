import test from 'ava';
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { SlotGate } from '../standin/platform/index.js';

function createResponse(): ServerResponse {
  return new EventEmitter() as unknown as ServerResponse;
}

test('a stand-in server runs no more requests than it has slots, and reports them', (t) => {
  // Guards against a soak that finds no refusals because servers take everything at once.
  const gate = new SlotGate(2, 1.6);
  const responses = Array.from({ length: 5 }, createResponse);
  const started: number[] = [];
  const taken = responses.map((response, at) =>
    gate.enter(`c${at}`, response, () => started.push(at)),
  );
  t.deepEqual(taken, [true, true, true, true, false]);
  t.deepEqual(started, [0, 1]);
  t.is(gate.load, '2,2,2,160');
  gate.slowdown = 2.5;
  t.is(gate.load, '2,2,2,400');
  responses[0]!.emit('close');
  t.deepEqual(started, [0, 1, 2]);
});

test('a request whose caller left while it waited does not run, and frees no slot', (t) => {
  // Guards against slots that are lost or given twice, which would make the true load header wrong.
  const gate = new SlotGate(1, 1);
  const [first, second, third] = [createResponse(), createResponse(), createResponse()];
  const started: string[] = [];
  gate.enter('a', first, () => started.push('a'));
  gate.enter('b', second, () => started.push('b'));
  second.emit('close');
  t.is(gate.load, '1,0,1,100');
  gate.enter('c', third, () => started.push('c'));
  first.emit('close');
  t.deepEqual(started, ['a', 'c']);
  third.emit('close');
  t.is(gate.load, '0,0,1,100');
  t.true(gate.waits.every(({ untilMs }) => untilMs !== undefined));
});
