import test from 'ava';
import { systemClock, type ModelId, type UpstreamId } from '../src/base/index.js';
import { HttpUpstreamLink } from '../platform/httpupstreamlink.js';
import { RawServer } from './support/rawserver.js';

const TIMEOUT_MS = 100;
/** Less than the time after which a call without a part of its answer fails. */
const BYTE_EVERY_MS = 20;
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n';
const ORDER = {
  upstream: 'e1' as UpstreamId,
  action: 'load',
  model: 'm1' as ModelId,
  expectedOrderCount: 0,
  holder: 'entry-1',
  fencingToken: 1,
} as const;

/** What is asked of an upstream beside requests, and how it ends if the answer is not complete. */
const CALLS: Readonly<
  Record<string, (link: HttpUpstreamLink, address: string) => Promise<unknown>>
> = {
  order: (link, address) => link.order({ ...ORDER, address }, TIMEOUT_MS, () => true),
  report: (link, address) => link.report(ORDER.upstream, address, TIMEOUT_MS),
};
const ENDS: Readonly<Record<string, unknown>> = { order: 'unknown', report: undefined };

for (const [name, call] of Object.entries(CALLS)) {
  test(`an upstream that sends its answer byte by byte does not hold the ${name} call`, async (t) => {
    const server = await RawServer.listen((socket) => {
      socket.write(HEAD);
      const timer = setInterval(() => socket.write(' '), BYTE_EVERY_MS);
      socket.on('close', () => clearInterval(timer));
    });
    const link = new HttpUpstreamLink(systemClock);
    t.teardown(() => {
      link.close();
      server.close();
    });
    t.is(await call(link, server.address), ENDS[name]);
    await server.allClosed();
  });
}
