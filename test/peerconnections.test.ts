import { createServer } from 'node:http';
import { once } from 'node:events';
import test from 'ava';
import { systemClock, type Revision } from '../src/base/index.js';
import { Peers } from '../src/direct/orders/index.js';

const LOG = { info() {}, warn() {}, error() {} };
const METRICS = { count() {}, gauge() {}, histogram() {} };
const DRAWS = 40;

test('an entry learns of changes while questions of its requests occupy the connections to another entry', async (t) => {
  const server = createServer((request, response) => {
    // Questions of requests are not answered here.
    if (request.url !== '/state/changes') return;
    response.end(JSON.stringify({ ok: true, changes: { changes: [], revision: 7 } }));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`;
  const handlers = {} as unknown as ConstructorParameters<typeof Peers>[0];
  const peers = new Peers(handlers, systemClock, LOG, METRICS);
  t.teardown(() => {
    peers.close();
    server.closeAllConnections();
    server.close();
  });
  const draw = {} as Parameters<Peers['draw']>[1];
  const draws = Array.from({ length: DRAWS }, () => peers.draw(address, draw));
  const answer = await peers.changes(address, { after: 1 as Revision, waitMs: 5000 });
  t.is(answer?.ok && answer.val.revision, 7 as Revision);
  await Promise.all(draws);
});
