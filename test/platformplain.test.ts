import test, { type ExecutionContext } from 'ava';
import { PlatformServer, type ServerBehavior } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { sendRaw } from './support/sendraw.js';
import { PlatformRig } from './support/platformrig.js';

const ANSWER = 'the whole answer';

async function withPlain(
  t: ExecutionContext,
  behaviors: readonly ServerBehavior[],
  act: (rig: PlatformRig, servers: readonly PlatformServer[]) => Promise<void>,
): Promise<void> {
  const rig = new PlatformRig();
  const servers = [new PlatformServer('p1', 'plain'), new PlatformServer('p2', 'plain')];
  servers[0]!.behaviors.push(...behaviors);
  // The second server is in another availability zone, so that the first one is preferred.
  const [first, second] = [servers[0]!, new PlatformServer('p2', 'plain', 'z2')];
  await rig.start([first, second]);
  await act(rig, [first, second]);
  rig.close();
  t.pass();
}

function ranCount(servers: readonly PlatformServer[]): number {
  return servers.reduce((sum, { runs }) => sum + runs.length, 0);
}

test('an answer is forwarded unchanged, with its signature', async (t) => {
  await withPlain(t, [], async (rig) => {
    const answer = await callEntry(rig.port, { path: '/lookup/1' });
    t.is(answer.status, 200);
    t.is(answer.body, ANSWER);
    t.regex(answer.head, /tarragonstile-response-signature: by-p1/);
    t.notRegex(answer.head, /server-load/i);
  });
});

test('a request that a full server refused is run by another server', async (t) => {
  await withPlain(t, ['full'], async (rig, servers) => {
    const answer = await callEntry(rig.port, { method: 'POST', path: '/charge/1', body: 'x' });
    t.is(answer.status, 200);
    t.is(ranCount(servers), 1);
  });
});

test('a failed idempotent request is retried', async (t) => {
  await withPlain(t, ['error'], async (rig, servers) => {
    t.is((await callEntry(rig.port, { path: '/lookup/1' })).status, 200);
    t.is(ranCount(servers), 2);
  });
});

test('if the retry gets no answer, the caller gets the error answer of the first attempt', async (t) => {
  await withPlain(t, ['error'], async (rig, servers) => {
    servers[1]!.behaviors.push('reset');
    const answer = await callEntry(rig.port, { path: '/lookup/1' });
    t.is(answer.status, 500);
    t.regex(answer.head, /by-p1/);
  });
});

const INVALID_ANSWERS: readonly ServerBehavior[] = [
  'reset',
  'other-id',
  'encoded',
  'unsigned',
  'cut',
  'unframed',
];
for (const behavior of INVALID_ANSWERS) {
  test(`a non-idempotent request is not retried, and its outcome is reported as unknown: ${behavior}`, async (t) => {
    await withPlain(t, [behavior], async (rig, servers) => {
      const answer = await callEntry(rig.port, { method: 'POST', path: '/charge/1', body: 'x' });
      t.is(answer.status, 502);
      t.regex(answer.body, /"executed":"unknown"/);
      t.is(ranCount(servers), 1);
    });
  });

  test(`an idempotent request gets its answer from another server: ${behavior}`, async (t) => {
    await withPlain(t, [behavior], async (rig) => {
      const answer = await callEntry(rig.port, { path: '/lookup/1' });
      t.is(answer.status, 200);
      t.is(answer.body, ANSWER);
    });
  });
}

test('an unsolicited second answer on a connection is discarded', async (t) => {
  await withPlain(t, ['extra', 'extra', 'extra'], async (rig) => {
    for (let at = 0; at < 6; at += 1) {
      const answer = await callEntry(rig.port, { path: '/lookup/1' });
      t.is(answer.body, ANSWER);
    }
  });
});

test('a request to a server that does not answer ends with the timeout of its route', async (t) => {
  await withPlain(t, ['silent'], async (rig) => {
    const answer = await callEntry(rig.port, { method: 'POST', path: '/short/1', body: 'x' });
    t.is(answer.status, 504);
    t.regex(answer.body, /"executed":"unknown"/);
  });
});

test('reserved and hop-by-hop headers of a caller are not forwarded', async (t) => {
  await withPlain(t, [], async (rig, [first]) => {
    const headers = {
      'Tarragonstile-Hold': '1',
      'Tarragonstile-Pin-Ms': '9',
      'Kv-From': 'x',
      'Tarragonstile-Expect-Instance': 'p9',
      'X-Own': 'kept',
      'X-Hop': 'left',
      Connection: 'close, X-Hop',
    };
    t.is((await callEntry(rig.port, { path: '/lookup/1', headers })).status, 200);
    const [ran] = first!.runs;
    t.is(ran!['tarragonstile-hold'], undefined);
    t.is(ran!['tarragonstile-pin-ms'], undefined);
    t.is(ran!['kv-from'], undefined);
    t.is(ran!['x-hop'], undefined);
    t.is(ran!['x-own'], 'kept');
    t.is(ran!.host, 'caller.example');
    t.true(Number(ran!['tarragonstile-deadline-ms']) <= 4000);
  });
});

test('a request without a route gets 404, and an oversized body or head gets 413 or 431', async (t) => {
  await withPlain(t, [], async (rig) => {
    t.is((await callEntry(rig.port, { path: '/nowhere/' })).status, 404);
    const body = 'x'.repeat(1001);
    t.is((await callEntry(rig.port, { method: 'POST', path: '/charge/1', body })).status, 413);
    const headers = { 'X-Large': 'x'.repeat(2000) };
    t.is((await callEntry(rig.port, { path: '/lookup/1', headers })).status, 431);
  });
});

test('requests with ambiguous framing are refused', async (t) => {
  await withPlain(t, [], async (rig, servers) => {
    const head = 'POST /charge/1 HTTP/1.1\r\nHost: caller.example\r\n';
    const ambiguous = [
      'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /lookup/1 HTTP/1.1\r\n\r\n',
      'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
      'Content-Length: +3\r\n\r\nabc',
      'Transfer-Encoding: xchunked\r\n\r\nabc',
      'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n',
      'Bad Header: 1\r\n\r\n',
    ];
    for (const rest of ambiguous) t.is((await sendRaw(rig.port, head + rest)).status, 400, rest);
    t.is(ranCount(servers), 0);
  });
});

test('a draining server gets no new requests', async (t) => {
  await withPlain(t, [], async (rig, [first, second]) => {
    rig.publish(first!, 'draining');
    await rig.until(() => rig.entry.fleet.get('p1' as never)!.info.isLeaving);
    t.is((await callEntry(rig.port, { path: '/lookup/1' })).status, 200);
    t.is(first!.runs.length, 0);
    t.is(second!.runs.length, 1);
  });
});

test('an unreadable configuration is logged and leaves the last valid one in force', async (t) => {
  await withPlain(t, [], async (rig) => {
    rig.store.put('op/config', '{"version": 2, "routes": 7}');
    await rig.until(() => rig.findLine('configuration not readable') !== undefined);
    t.is((await callEntry(rig.port, { path: '/lookup/1' })).status, 200);
    rig.configure(3, ['lookup']);
    await rig.until(() => rig.entry.table?.version === 3);
    t.is((await callEntry(rig.port, { path: '/lookup/1' })).status, 404);
    rig.configure(2);
    rig.configure(4, ['lookup', 'batch']);
    await rig.until(() => rig.entry.table?.version === 4);
    t.is((await callEntry(rig.port, { path: '/lookup/1' })).status, 404);
  });
});

test('callers are served while the store sends malformed answers or none, until it is regained', async (t) => {
  await withPlain(t, [], async (rig) => {
    rig.store.faults.set('/kv-watch', ['rubbish', 'refused', 'unavailable', 'answer-lost']);
    rig.configure(2);
    await rig.until(() => rig.findLine('store lost') !== undefined);
    t.is((await callEntry(rig.port, { path: '/lookup/1' })).status, 200);
    await rig.until(() => rig.findLine('store regained') !== undefined);
    await rig.until(() => rig.entry.table?.version === 2);
  });
});

test('an entry without a configuration refuses requests and is not ready', async (t) => {
  const rig = new PlatformRig();
  await rig.start([], false);
  const answer = await callEntry(rig.port, { path: '/lookup/1' });
  t.is(answer.status, 503);
  t.regex(answer.body, /"executed":"no"/);
  t.false(rig.entry.isReady());
  rig.close();
});
