import test from 'ava';
import { PlatformServer, type ServerBehavior } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

const HEADERS = { 'Tarragonstile-Model': 'm1' };
const WHOLE = /id: 1\n.*\n\nid: 2\n.*\n\nid: 3\n.*\n\nid: 4\n.*\n\nid: 5\n.*\n\n$/;

async function answerOf(path: string, behavior: ServerBehavior) {
  const rig = new PlatformRig();
  const servers = ['e1', 'e2'].map((id) => new PlatformServer(id, 'engine'));
  for (const server of servers) server.models.set('m1', new Set());
  servers[0]!.behaviors.push(behavior);
  await rig.start(servers);
  // The second engine is chosen only if the first one has failed.
  servers[1]!.behaviors.push('full', 'full');
  const until = () => servers[0]!.requestLog.length > 0;
  const answer = callEntry(rig.port, { method: 'POST', path, headers: HEADERS });
  await rig.until(until);
  servers[1]!.behaviors.length = 0;
  const read = await answer;
  rig.close();
  return { ...read, tries: servers.map(({ requestLog }) => requestLog.length) };
}

test('a whole stream without a length is passed on as it came', async (t) => {
  for (const path of ['/draft/1', '/batch/1']) {
    const { status, body, isWhole, tries } = await answerOf(path, 'unframed-whole');
    t.is(status, 200);
    t.true(isWhole);
    t.regex(body, WHOLE);
    t.deepEqual(tries, [1, 0]);
  }
});

test('a resumable stream that ends inside an event is continued', async (t) => {
  const { body, tries } = await answerOf('/batch/1', 'unframed-cut');
  t.regex(body, WHOLE);
  t.deepEqual(tries, [1, 1]);
});

test('a stream that ends inside an event is cut, so that its caller does not take it for whole', async (t) => {
  const { isWhole, tries } = await answerOf('/draft/1', 'unframed-cut');
  t.false(isWhole);
  t.deepEqual(tries, [1, 0]);
});
