import test from 'ava';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { systemClock, type RequestId, type UpstreamId } from '../src/base/index.js';
import type { UpstreamReceiver } from '../src/port/index.js';
import { HttpUpstreamLink } from '../platform/httpupstreamlink.js';

type Head = Parameters<UpstreamReceiver['head']>[0];

function headFrom(link: HttpUpstreamLink, address: string): Promise<Head> {
  const call = {
    upstream: 'u' as UpstreamId,
    address,
    maxConnections: 1,
    requestId: 'r1' as RequestId,
    method: 'POST',
    path: '/',
    headers: [],
    body: Buffer.from('{}'),
    deadlineMs: 5000,
    priority: 1,
    maySend: () => true,
  };
  return new Promise((resolve, reject) => {
    let head: Head | undefined;
    const receiver: UpstreamReceiver = {
      head: (received) => {
        head = received;
      },
      data: () => true,
      end: () => resolve(head!),
      failed: ({ detail }) => reject(new TypeError(detail)),
    };
    link.send(call, receiver);
  });
}

/** Returns the heads of answers with this status and these load headers; an undefined header is left out. */
async function headsOf(
  status: number,
  loadHeaders: readonly (string | undefined)[],
): Promise<Head[]> {
  const rest = [...loadHeaders];
  const server = createServer((_request, response) => {
    const load = rest.shift();
    if (load !== undefined) response.setHeader('Tarragonstile-Server-Load', load);
    response.setHeader('Tarragonstile-Request-Id', 'r1');
    response.setHeader('Tarragonstile-Not-Executed', '1');
    response.writeHead(status).end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const link = new HttpUpstreamLink(systemClock);
  const heads: Head[] = [];
  for (let at = 0; at < loadHeaders.length; at += 1) {
    heads.push(await headFrom(link, `127.0.0.1:${(server.address() as AddressInfo).port}`));
  }
  link.close();
  server.closeAllConnections();
  server.close();
  return heads;
}

test('the work percentage is read from answers and from refusals with status 503', async (t) => {
  for (const status of [400, 503]) {
    const [head] = await headsOf(status, ['3,1,24,160']);
    t.deepEqual(head!.load, { running: 3, waiting: 1, workPercent: 160 });
  }
});

// Guards against an unreadable figure that hides the counts beside it, or is read as a number: '' as 0, '0x64' as 100.
test('a missing or torn work percentage leaves the counts of the load header as they are', async (t) => {
  const torn = ['3,1,24', '3,1,24,', '3,1,24,abc', '3,1,24,0x64', '3,1,24,-5', '3,1,24,16o'];
  for (const { load } of await headsOf(503, torn)) {
    t.deepEqual(load, { running: 3, waiting: 1, workPercent: undefined });
  }
  const [extended, none] = await headsOf(503, ['3,1,24, 160 ,later', undefined]);
  t.is(extended!.load!.workPercent, 160);
  t.is(none!.load, undefined);
});
