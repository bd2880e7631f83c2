import type { ExecutionContext } from 'ava';
import type { Endless } from '../../standin/platform/index.js';
import { askAll } from './asker.js';
import { startPlatformTarget } from './platformtarget.js';
import { sendRaw } from './sendraw.js';

/** Answers that stop, at many upstreams with many slots each. */
interface HeldLoad {
  readonly endless: Endless;
  /** Route of the requests. */
  readonly route: 'lookup' | 'batch';
  readonly callers: number;
  /** Sends an ordinary request to the sound servers of the other service after each of these. */
  readonly asksOthers?: boolean;
}

/** What the answers hold together is more than this host has beside an idle entry. */
const HOST = {
  memoryMb: 200,
  heapMb: 160,
  servers: 12,
  slots: 64,
  maxConnections: 1000,
  maxDescriptors: 2000,
};
const PROBE = 'GET / HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n';
const FIELDS = [
  'Host: caller.example',
  'Tarragonstile-Request-Id: @id',
  'Connection: close',
  'Content-Length: 0',
];
const ROUTE_FIELDS: Readonly<Record<HeldLoad['route'], readonly string[]>> = {
  lookup: FIELDS,
  batch: [...FIELDS, 'Tarragonstile-Model: m1'],
};

const SERVICES: Readonly<Record<HeldLoad['route'], string>> = { lookup: 'plain', batch: 'engine' };

function requestTo(route: HeldLoad['route'], id: string): string {
  const head = `POST /${route}/1 HTTP/1.1\r\n${ROUTE_FIELDS[route].join('\r\n')}\r\n\r\n`;
  return head.replace('@id', id);
}

/** Checks that what an entry holds of all answers together is bounded, and that every caller is answered. */
export async function withstandsHeldAnswers(
  t: ExecutionContext,
  { endless, route, callers, asksOthers }: HeldLoad,
): Promise<void> {
  const target = await startPlatformTarget(HOST);
  const { process, ports, servers, memoryBytes } = target;
  try {
    t.is(await target.ask(), 200);
    t.log(`before ${process.peakBytes()}`);
    const service = SERVICES[route];
    for (const server of servers) if (server.service === service) server.endless = endless;
    const others: ReturnType<typeof askAll>[] = [];
    const asked: ReturnType<typeof askAll>[] = [];
    for (let caller = 0; caller < callers; caller += 1) {
      const port = ports.callers!;
      asked.push(askAll({ port, text: requestTo(route, `r${caller}`) }, 1, 1));
      if (asksOthers) others.push(askAll({ port, text: requestTo('lookup', `o${caller}`) }, 1, 1));
      // Connections come no faster than the entry accepts them: it closes some of a burst unread.
      await sendRaw(ports.readiness!, PROBE);
    }
    const ends = (await Promise.all(asked)).flat();
    const statuses = new Map<number, number>();
    for (const { status } of ends) statuses.set(status, (statuses.get(status) ?? 0) + 1);
    t.log(`peak ${process.peakBytes()}, statuses ${JSON.stringify([...statuses])}`);
    t.true(process.isAlive, `The process ended:\n${process.text.slice(-2000)}`);
    t.false(statuses.has(0));
    const lost = (await Promise.all(others)).flat().filter(({ status }) => status !== 200);
    t.deepEqual(lost, []);
    for (const server of servers) server.endless = undefined;
    t.is(await target.ask(), 200);
    const peakBytes = process.peakBytes();
    t.true(peakBytes !== undefined && peakBytes <= memoryBytes, `${peakBytes} bytes of memory`);
  } finally {
    await target.close();
  }
}
