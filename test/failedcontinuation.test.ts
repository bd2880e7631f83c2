import test from 'ava';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

function engine(id: string, zone: string): PlatformServer {
  const server = new PlatformServer(id, 'engine', zone);
  server.models.set('m1', new Set());
  return server;
}

// Guards against a stream that ends as complete though it was cut: the continuation fails with an answer of its own.
test('a broken stream whose continuation fails with a status does not look complete', async (t) => {
  const rig = new PlatformRig();
  const [first, second] = [engine('e1', 'z1'), engine('e2', 'z2')];
  first.behaviors.push('cut');
  Object.assign(second, {
    stream: ({ headers }: IncomingMessage, response: ServerResponse) => {
      response.writeHead(500, {
        'tarragonstile-request-id': headers['tarragonstile-request-id'],
        'tarragonstile-response-signature': 'by-e2',
      });
      response.end('failed');
    },
  });
  await rig.start([first, second]);
  const headers = { 'Tarragonstile-Model': 'm1' };
  const answer = await callEntry(rig.port, { method: 'POST', path: '/batch/1', headers });
  rig.close();
  t.false(answer.isWhole);
});
