import type { ExecutionContext } from 'ava';
import { Crowd } from '../../bench/soak/crowd.js';
import type { Endless } from '../../standin/platform/index.js';
import { askAll } from './asker.js';
import { startPlatformTarget } from './platformtarget.js';

/** Requests whose upstreams, all of them, answer without end. */
interface EndlessLoad {
  readonly endless: Endless;
  /** Route of the requests. */
  readonly route: 'lookup' | 'charge' | 'draft' | 'batch';
  readonly callers: number;
  /** The callers send one request each and read nothing of its answer. */
  readonly readsNothing?: boolean;
}

/** Host and heap limit of a deployed entry; the rest of the memory is the aim's margin. */
const HOST = { memoryMb: 350, heapMb: 160, servers: 3 };
const MEMORY_SHARE = 0.8;
const TIMES = 3;
const SENT = [
  'Host: caller.example',
  'Tarragonstile-Request-Id: @id',
  'Connection: close',
  'Content-Length: 0',
];
const MODEL = 'Tarragonstile-Model: m1';
const HEADERS: Readonly<Record<EndlessLoad['route'], readonly string[]>> = {
  lookup: SENT,
  charge: SENT,
  draft: [...SENT, MODEL],
  batch: [...SENT, MODEL],
};

/** Checks that an entry bears answers without end of all its upstreams, and serves once they are sound. */
export async function withstandsUpstreams(
  t: ExecutionContext,
  { endless, route, callers, readsNothing }: EndlessLoad,
): Promise<void> {
  const target = await startPlatformTarget(HOST);
  const { process, ports, servers, memoryBytes, maxDescriptors } = target;
  const crowd = new Crowd();
  try {
    t.is(await target.ask(), 200);
    t.log(`before ${process.peakBytes()}`);
    for (const server of servers) server.endless = endless;
    const text = `POST /${route}/1 HTTP/1.1\r\n${HEADERS[route].join('\r\n')}\r\n\r\n`;
    const port = ports.callers!;
    if (readsNothing) await crowd.open(port, callers, { head: text });
    else await askAll({ port, text }, callers, TIMES);
    await process.untilQuiet();
    t.log(`peak ${process.peakBytes()}`);
    t.true(process.isAlive, `The process ended:\n${process.text.slice(-2000)}`);
    for (const server of servers) server.endless = undefined;
    t.is(await target.ask(), 200);
    const descriptorCount = process.descriptorCount()!;
    t.true(descriptorCount <= maxDescriptors, `${descriptorCount} descriptors`);
    const peakBytes = process.peakBytes();
    const limitBytes = memoryBytes * MEMORY_SHARE;
    t.true(peakBytes !== undefined && peakBytes <= limitBytes, `${peakBytes} bytes of memory`);
  } finally {
    crowd.close();
    await target.close();
  }
}
