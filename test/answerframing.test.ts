import test from 'ava';
import { systemClock } from '../src/base/index.js';
import { Channel } from '../src/shell/http1/index.js';
import { RawServer } from './support/rawserver.js';

const OPTIONS = { clock: systemClock, connectTimeoutMs: 500, idleMs: 1000, maxConnections: 1 };

/** Returns how the answer to a call was framed, and how it ended. */
async function outcomeOf(method: string, answer: string, isReset = false): Promise<string> {
  const server = await RawServer.listen((socket) => {
    socket.write(answer, () => (isReset ? socket.resetAndDestroy() : socket.end()));
  });
  const channel = new Channel(server.address, OPTIONS);
  const outcome = await new Promise<string>((resolve) => {
    let framed = '';
    channel.send(
      { method, path: '/', headers: [] },
      {
        head: (_status, _headers, framing) => {
          framed = framing;
        },
        data: () => true,
        end: () => resolve(`${framed} end`),
        failed: ({ type }) => resolve(`${framed} ${type}`),
      },
    );
  });
  channel.close();
  server.close();
  return outcome;
}

const HEAD = 'HTTP/1.1 200 OK\r\n';

// Guards against a cut answer that looks complete (MIXED): a coding other than chunks does not show where a body ends.
test('an answer with a transfer coding other than chunks that is reset is incomplete', async (t) => {
  const answer = `${HEAD}Transfer-Encoding: gzip\r\n\r\npart`;
  t.is(await outcomeOf('GET', answer, true), 'connection connection-lost');
  t.is(await outcomeOf('GET', answer), 'connection end');
});

// Guards against a reset that makes a whole answer incomplete: one to HEAD ends with its head, without a length too.
test('the framing of an answer follows its method, its status and its last transfer coding', async (t) => {
  t.is(await outcomeOf('HEAD', `${HEAD}\r\n`, true), 'length end');
  t.is(await outcomeOf('GET', 'HTTP/1.1 204 No Content\r\n\r\n', true), 'length end');
  t.is(await outcomeOf('GET', `${HEAD}Content-Length: 0\r\n\r\n`, true), 'length end');
  const chunks = `${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n`;
  t.is(await outcomeOf('GET', `${chunks}0\r\n\r\n`, true), 'chunks end');
  t.is(await outcomeOf('GET', chunks), 'chunks connection-lost');
  t.is(await outcomeOf('GET', `${HEAD}\r\n`), 'connection end');
});
