import test, { type ExecutionContext } from 'ava';
import { PlatformServer, type ServerManner } from '../standin/platform/index.js';
import { askEntry } from './support/askentry.js';
import { askRaw } from './support/askraw.js';
import { PlatformRig } from './support/platformrig.js';

const WHOLE = 'the whole answer';

async function withPlain(
  t: ExecutionContext,
  manners: readonly ServerManner[],
  act: (rig: PlatformRig, servers: readonly PlatformServer[]) => Promise<void>,
): Promise<void> {
  const rig = new PlatformRig();
  const servers = [new PlatformServer('p1', 'plain'), new PlatformServer('p2', 'plain')];
  servers[0]!.manners.push(...manners);
  // The other one is in another zone, so that the first is asked first.
  const [first, second] = [servers[0]!, new PlatformServer('p2', 'plain', 'z2')];
  await rig.start([first, second]);
  await act(rig, [first, second]);
  rig.close();
  t.pass();
}

function ranCount(servers: readonly PlatformServer[]): number {
  return servers.reduce((sum, { ran }) => sum + ran.length, 0);
}

test('an answer goes to its caller as it is, signature and all', async (t) => {
  await withPlain(t, [], async (rig) => {
    const answer = await askEntry(rig.port, { path: '/lookup/1' });
    t.is(answer.status, 200);
    t.is(answer.body, WHOLE);
    t.regex(answer.head, /tarragonstile-response-signature: by-p1/);
    t.notRegex(answer.head, /server-load/i);
  });
});

test('a server that is full has not run the request: another one does', async (t) => {
  await withPlain(t, ['full'], async (rig, servers) => {
    const answer = await askEntry(rig.port, { method: 'POST', path: '/charge/1', body: 'x' });
    t.is(answer.status, 200);
    t.is(ranCount(servers), 1);
  });
});

test('an idempotent request that failed is tried once more', async (t) => {
  await withPlain(t, ['error'], async (rig, servers) => {
    t.is((await askEntry(rig.port, { path: '/lookup/1' })).status, 200);
    t.is(ranCount(servers), 2);
  });
});

test('the failure that a server answered is given when the repeat gets nothing', async (t) => {
  await withPlain(t, ['error'], async (rig, servers) => {
    servers[1]!.manners.push('reset');
    const answer = await askEntry(rig.port, { path: '/lookup/1' });
    t.is(answer.status, 500);
    t.regex(answer.head, /by-p1/);
  });
});

const SPOILT: readonly ServerManner[] = [
  'reset',
  'other-id',
  'encoded',
  'unsigned',
  'cut',
  'unframed',
];
for (const manner of SPOILT) {
  test(`a request that may run once only is neither repeated nor said unrun: ${manner}`, async (t) => {
    await withPlain(t, [manner], async (rig, servers) => {
      const answer = await askEntry(rig.port, { method: 'POST', path: '/charge/1', body: 'x' });
      t.is(answer.status, 502);
      t.regex(answer.body, /"executed":"unknown"/);
      t.is(ranCount(servers), 1);
    });
  });

  test(`an idempotent one gets its answer from another server: ${manner}`, async (t) => {
    await withPlain(t, [manner], async (rig) => {
      const answer = await askEntry(rig.port, { path: '/lookup/1' });
      t.is(answer.status, 200);
      t.is(answer.body, WHOLE);
    });
  });
}

test('a second answer on a connection reaches nobody', async (t) => {
  await withPlain(t, ['extra', 'extra', 'extra'], async (rig) => {
    for (let at = 0; at < 6; at += 1) {
      const answer = await askEntry(rig.port, { path: '/lookup/1' });
      t.is(answer.body, WHOLE);
    }
  });
});

test('a silent server costs its caller the time of the route, no more', async (t) => {
  await withPlain(t, ['silent'], async (rig) => {
    const answer = await askEntry(rig.port, { method: 'POST', path: '/short/1', body: 'x' });
    t.is(answer.status, 504);
    t.regex(answer.body, /"executed":"unknown"/);
  });
});

test('headers that are ours to set do not pass from a caller', async (t) => {
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
    t.is((await askEntry(rig.port, { path: '/lookup/1', headers })).status, 200);
    const [ran] = first!.ran;
    t.is(ran!['tarragonstile-hold'], undefined);
    t.is(ran!['tarragonstile-pin-ms'], undefined);
    t.is(ran!['kv-from'], undefined);
    t.is(ran!['x-hop'], undefined);
    t.is(ran!['x-own'], 'kept');
    t.is(ran!.host, 'caller.example');
    t.true(Number(ran!['tarragonstile-deadline-ms']) <= 4000);
  });
});

test('what no route takes is 404, what is too large is 413 and 431', async (t) => {
  await withPlain(t, [], async (rig) => {
    t.is((await askEntry(rig.port, { path: '/nowhere/' })).status, 404);
    const body = 'x'.repeat(1001);
    t.is((await askEntry(rig.port, { method: 'POST', path: '/charge/1', body })).status, 413);
    const headers = { 'X-Large': 'x'.repeat(2000) };
    t.is((await askEntry(rig.port, { path: '/lookup/1', headers })).status, 431);
  });
});

test('requests that two readers could read differently are refused', async (t) => {
  await withPlain(t, [], async (rig, servers) => {
    const head = 'POST /charge/1 HTTP/1.1\r\nHost: caller.example\r\n';
    const shapes = [
      'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /lookup/1 HTTP/1.1\r\n\r\n',
      'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
      'Content-Length: +3\r\n\r\nabc',
      'Transfer-Encoding: xchunked\r\n\r\nabc',
      'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n',
      'Bad Header: 1\r\n\r\n',
    ];
    for (const shape of shapes) t.is((await askRaw(rig.port, head + shape)).status, 400, shape);
    t.is(ranCount(servers), 0);
  });
});

test('a leaving server gets no new request', async (t) => {
  await withPlain(t, [], async (rig, [first, second]) => {
    rig.list(first!, 'draining');
    await rig.until(() => rig.entry.fleet.get('p1' as never)!.info.isLeaving);
    t.is((await askEntry(rig.port, { path: '/lookup/1' })).status, 200);
    t.is(first!.ran.length, 0);
    t.is(second!.ran.length, 1);
  });
});

test('an unreadable configuration leaves the last good one in force and is said', async (t) => {
  await withPlain(t, [], async (rig) => {
    rig.store.put('op/config', '{"version": 2, "routes": 7}');
    await rig.until(() => rig.said('configuration not readable') !== undefined);
    t.is((await askEntry(rig.port, { path: '/lookup/1' })).status, 200);
    rig.configure(3, ['lookup']);
    await rig.until(() => rig.entry.table?.version === 3);
    t.is((await askEntry(rig.port, { path: '/lookup/1' })).status, 404);
    rig.configure(2);
    rig.configure(4, ['lookup', 'batch']);
    await rig.until(() => rig.entry.table?.version === 4);
    t.is((await askEntry(rig.port, { path: '/lookup/1' })).status, 404);
  });
});

test('a store that answers rubbish, or not, is lost and regained; callers are served', async (t) => {
  await withPlain(t, [], async (rig) => {
    rig.store.faults.set('/kv-watch', ['rubbish', 'refused', 'unavailable', 'answer-lost']);
    rig.configure(2);
    await rig.until(() => rig.said('store lost') !== undefined);
    t.is((await askEntry(rig.port, { path: '/lookup/1' })).status, 200);
    await rig.until(() => rig.said('store regained') !== undefined);
    await rig.until(() => rig.entry.table?.version === 2);
  });
});

test('an entry that knows no configuration refuses and is not ready', async (t) => {
  const rig = new PlatformRig();
  await rig.start([], false);
  const answer = await askEntry(rig.port, { path: '/lookup/1' });
  t.is(answer.status, 503);
  t.regex(answer.body, /"executed":"no"/);
  t.false(rig.entry.isReady());
  rig.close();
});
