import test from 'ava';
import { request } from 'undici';
import type { RequestRecord } from '../demo/load/requestrecord.js';
import type { Outcome } from '../demo/load/outcome.js';
import { outcomeOfProblem } from '../demo/load/outcomeofproblem.js';
import { tally } from '../demo/load/tally.js';
import { FakeService } from '../standin/index.js';

function requestRecord(
  id: string,
  type: Outcome['type'],
  fields: Partial<RequestRecord> = {},
): RequestRecord {
  const outcomes = [{ type, tookMs: 1 }];
  return { id, kind: 'confirm', outcomes, tookMs: 1, falseNotRun: false, ...fields };
}

/** Tallies records against a plain service that has run the business keys in `done`. */
async function counted(done: readonly string[], records: readonly RequestRecord[]) {
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

test('counts confirmations that ran twice, and answered confirmations that never ran', async (t) => {
  const records = [
    requestRecord('a', 'answered'),
    requestRecord('b', 'answered'),
    requestRecord('c', 'answered'),
  ];
  t.like(await counted(['a', 'b', 'b'], records), { answered: 3, doubled: 1, lost: 1 });
});

test('counts a refusal as false if the request has run, at the refusal or by the end', async (t) => {
  const records = [
    requestRecord('a', 'refused'),
    requestRecord('b', 'refused'),
    requestRecord('c', 'unknown'),
  ];
  t.like(await counted(['a', 'c'], records), { refused: 2, unknown: 1, falseNotRun: 1 });
  const early = requestRecord('d', 'answered', { falseNotRun: true });
  t.like(await counted(['d'], [early]), { falseNotRun: 1 });
});

test('counts missing answers and cut answers separately', async (t) => {
  t.like(await counted([], [requestRecord('a', 'lost'), requestRecord('b', 'cut')]), {
    lost: 1,
    cut: 1,
  });
});

test('only a correct answer within its deadline attains its weight', async (t) => {
  const late = requestRecord('b', 'answered', { tookMs: 5000 });
  const records = [requestRecord('a', 'answered'), late, requestRecord('c', 'refused')];
  t.is((await counted(['a', 'b'], records)).attained, 5);
});

test('an error answer without a problem document counts as cut, not as a refusal', (t) => {
  const problem = { type: 'urn:tarragonstile:no-upstream', executed: 'no', requestId: 'r' };
  t.like(outcomeOfProblem(JSON.stringify(problem), 1), { type: 'refused', reason: 'no-upstream' });
  t.is(outcomeOfProblem(JSON.stringify({ executed: 'unknown' }), 1).type, 'unknown');
  t.is(outcomeOfProblem('<html>', 1).type, 'cut');
  t.is(outcomeOfProblem('{}', 1).type, 'cut');
});
