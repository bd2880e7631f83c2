import test from 'ava';
import { FakeEngine } from '../standin/index.js';
import { startRig } from './support/pathrig.js';
import { sendRaw } from './support/sendraw.js';
import { stallEventLoop } from './support/stalleventloop.js';

const TURN_MS = 3;
/** They fit into the kernel's accept queue, and take several times as long to read as it may stand. */
const CONNECTIONS = 400;
const REQUEST = 'GET /healthz HTTP/1.1\r\nHost: caller.example\r\nConnection: close\r\n\r\n';

/** Makes each turn of the event loop take some time. Returns a function that ends this. */
function slowTurns(): () => void {
  let immediate = setImmediate(function turn() {
    stallEventLoop(TURN_MS);
    immediate = setImmediate(turn);
  });
  return () => clearImmediate(immediate);
}

// An entry with sidecars read requests that had waited in its accept queue until their callers had left.
test('connections that an entry cannot read in time are closed unread', async (t) => {
  const engine = new FakeEngine({ tokenMs: 1, tokens: 1 });
  const rig = await startRig({ upstreams: [{ url: await engine.listen() }] });
  const restore = slowTurns();
  const answers = await Promise.all(
    Array.from({ length: CONNECTIONS }, () => sendRaw(rig.port, REQUEST)),
  );
  restore();
  const unread = answers.filter(({ head }) => head === '');
  const read = answers.filter(({ head }) => head !== '');
  t.true(unread.length > 0);
  t.true(read.length > 0);
  t.true(read.every(({ isWhole }) => isWhole));
  await rig.close();
  await engine.close();
});
