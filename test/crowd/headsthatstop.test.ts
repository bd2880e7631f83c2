import test, { type ExecutionContext } from 'ava';
import type { Endless } from '../../standin/platform/index.js';
import { askAll } from '../support/asker.js';
import { startPlatformTarget } from '../support/platformtarget.js';

/** The heap limit of a deployed entry, and servers with slots for all callers. */
const HOST = { memoryMb: 350, heapMb: 160, servers: 12, slots: 40 };
const CALLERS = 300;
const TIMES = 2;
/** Within the bound on the bytes of a head. */
const FIELDS = { piece: 'a:\r\n', times: 15_000 };
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const REQUEST = [
  'POST /lookup/1 HTTP/1.1',
  'Host: caller.example',
  'Tarragonstile-Request-Id: @id',
  'Connection: close',
  'Content-Length: 0',
];

const KINDS: Readonly<Record<string, Endless>> = {
  'a head': { status: '200 OK', fields: '', ...FIELDS },
  'a trailer': { status: '200 OK', fields: `${CHUNKED}1\r\nx\r\n0\r\n`, ...FIELDS },
};

async function withstands(t: ExecutionContext, endless: Endless): Promise<void> {
  const target = await startPlatformTarget(HOST);
  const { process, ports, servers } = target;
  try {
    t.is(await target.ask(), 200);
    for (const server of servers) server.endless = endless;
    const text = `${REQUEST.join('\r\n')}\r\n\r\n`;
    await askAll({ port: ports.callers!, text }, CALLERS, TIMES);
    await process.untilQuiet();
    t.log(`peak ${process.peakBytes()}`);
    t.true(process.isAlive, `The process ended:\n${process.text.slice(-2000)}`);
  } finally {
    await target.close();
  }
}

// Guards against memory that follows the number of header fields while a head is incomplete: its bound is in bytes, and
// the parser's client keeps two buffers for each field until the head ends.
for (const [kind, endless] of Object.entries(KINDS)) {
  test(`platform, upstreams: small header fields of ${kind} that stops`, withstands, endless);
}
