import test from 'ava';
import type { IncomingMessage } from 'node:http';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { PlatformRig } from './support/platformrig.js';

/** Returns a server that runs a request and then answers that the request with the given id was not run. */
function server(
  name: string,
  idOf: (request: IncomingMessage) => string | undefined,
): PlatformServer {
  const plain = (request: IncomingMessage) => {
    const id = idOf(request);
    const line = id === undefined ? '' : `Tarragonstile-Request-Id: ${id}\r\n`;
    request.socket.write(
      `HTTP/1.1 503 Service Unavailable\r\n${line}Tarragonstile-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    );
  };
  return Object.assign(new PlatformServer(name, 'plain'), { plain });
}

async function charge(idOf: (request: IncomingMessage) => string | undefined) {
  const servers = [server('p1', idOf), server('p2', idOf)];
  const rig = new PlatformRig();
  await rig.start(servers);
  const { status, body } = await callEntry(rig.port, { method: 'POST', path: '/charge/1' });
  rig.close();
  const sentCount = servers.reduce((sum, { requestLog }) => sum + requestLog.length, 0);
  return { status, body, sentCount };
}

// Guards against a request that may not be repeated and runs twice (TWICE): a late second answer to an earlier request
// says that the earlier one was not run.
test('a refusal of another request says nothing about the request under way', async (t) => {
  const { status, body, sentCount } = await charge(() => 'another');
  t.is(status, 502);
  t.regex(body, /"executed":"unknown"/);
  t.is(sentCount, 1);
});

// Guards against refusals that are taken for wrong answers: an upstream that is full may leave the id out.
test('a refusal with the id of its request, or with none, is one of the request', async (t) => {
  const own = ({ headers }: IncomingMessage) => String(headers['tarragonstile-request-id']);
  for (const idOf of [own, () => undefined]) {
    const { status, body, sentCount } = await charge(idOf);
    t.is(status, 503);
    t.regex(body, /"executed":"no"/);
    t.true(sentCount > 1);
  }
});
