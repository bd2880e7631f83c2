import test from 'ava';
import { request } from 'undici';
import type { Asked } from '../demo/load/asked.js';
import type { Outcome } from '../demo/load/outcome.js';
import { problemOf } from '../demo/load/problemof.js';
import { tally } from '../demo/load/tally.js';
import { FakeService } from '../standin/index.js';

function asked(id: string, type: Outcome['type'], fields: Partial<Asked> = {}): Asked {
  const outcomes = [{ type, tookMs: 1 }];
  return { id, kind: 'confirm', outcomes, tookMs: 1, falseNotRun: false, ...fields };
}

/** Counts a load against a plain service that did each of these, in this order. */
async function counted(done: readonly string[], records: readonly Asked[]) {
  const service = new FakeService({ serviceMs: 0 });
  const url = await service.listen();
  for (const transferId of done) {
    const answer = await request(url, { method: 'POST', body: JSON.stringify({ transferId }) });
    await answer.body.dump();
  }
  service.close();
  const runs = (key: string) => service.runs(key);
  return tally(records, { engines: [], services: [service], runs });
}

test('what was done twice, and what was confirmed but never done, is counted', async (t) => {
  const told = [asked('a', 'answered'), asked('b', 'answered'), asked('c', 'answered')];
  t.like(await counted(['a', 'b', 'b'], told), { answered: 3, doubled: 1, lost: 1 });
});

test('a refusal that promised "not run" is held to it to the end', async (t) => {
  const told = [asked('a', 'refused'), asked('b', 'refused'), asked('c', 'unknown')];
  t.like(await counted(['a', 'c'], told), { refused: 2, unknown: 1, falseNotRun: 1 });
  const early = asked('d', 'answered', { falseNotRun: true });
  t.like(await counted(['d'], [early]), { falseNotRun: 1 });
});

test('no answer and a broken answer are counted apart', async (t) => {
  t.like(await counted([], [asked('a', 'lost'), asked('b', 'cut')]), { lost: 1, cut: 1 });
});

test('only a right answer in time attains its weight', async (t) => {
  const late = asked('b', 'answered', { tookMs: 5000 });
  const told = [asked('a', 'answered'), late, asked('c', 'refused')];
  t.is((await counted(['a', 'b'], told)).attained, 5);
});

test('an end without a problem document is a cut, not a refusal', (t) => {
  const problem = { type: 'urn:tarragonstile:no-upstream', executed: 'no', requestId: 'r' };
  t.like(problemOf(JSON.stringify(problem), 1), { type: 'refused', reason: 'no-upstream' });
  t.is(problemOf(JSON.stringify({ executed: 'unknown' }), 1).type, 'unknown');
  t.is(problemOf('<html>', 1).type, 'cut');
  t.is(problemOf('{}', 1).type, 'cut');
});
