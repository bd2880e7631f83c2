import test, { type ExecutionContext } from 'ava';
import { PlatformServer } from '../standin/platform/index.js';
import { askEntry } from './support/askentry.js';
import { askRaw } from './support/askraw.js';
import { PlatformRig } from './support/platformrig.js';

const LARGE = 'key-of-large';
const SECOND = 'second-of-large';
const SMALL = 'key-of-small';
const CUSTOMERS = [
  { name: 'large', keys: [LARGE, SECOND], priority: 0 },
  { name: 'small', keys: [SMALL] },
];

function withKey(key: string): Readonly<Record<string, string>> {
  return { Authorization: `Bearer ${key}` };
}

async function withServer(
  t: ExecutionContext,
  act: (rig: PlatformRig, server: PlatformServer) => Promise<void>,
  customers: PlatformRig['customers'] = CUSTOMERS,
): Promise<void> {
  const rig = new PlatformRig();
  rig.customers = customers;
  const server = new PlatformServer('p1', 'plain');
  await rig.start([server]);
  await act(rig, server);
  // Whatever happened, no key stands in a log line.
  for (const key of [LARGE, SECOND, SMALL]) t.false(JSON.stringify(rig.lines).includes(key));
  rig.close();
}

test('the server is told whose key it is, whatever the caller says, and not the key', async (t) => {
  await withServer(t, async (rig, server) => {
    const headers = { ...withKey(LARGE), 'Tarragonstile-Tenant': 'small' };
    t.is((await askEntry(rig.port, { path: '/lookup/1', headers })).status, 200);
    const [ran] = server.ran;
    t.is(ran!['tarragonstile-tenant'], 'large');
    t.is(ran!.authorization, undefined);
    // The customer's priority, 0, goes before that of the route, which is 1 as well.
    t.is(ran!['tarragonstile-request-priority'], '1');
    await askEntry(rig.port, { path: '/lookup/1', headers: withKey(SMALL) });
    t.is(server.ran[1]!['tarragonstile-tenant'], 'small');
    t.is(server.ran[1]!['tarragonstile-request-priority'], '3');
  });
});

test('the name goes with repeats, too', async (t) => {
  await withServer(t, async (rig, server) => {
    server.manners.push('error');
    const other = new PlatformServer('p2', 'plain', 'z2');
    await rig.add(other);
    await rig.until(() => rig.entry.fleet.get('p2' as never) !== undefined);
    const headers = { ...withKey(SMALL), 'Tarragonstile-Tenant': 'large' };
    t.is((await askEntry(rig.port, { path: '/lookup/1', headers })).status, 200);
    for (const ran of [...server.ran, ...other.ran]) t.is(ran['tarragonstile-tenant'], 'small');
    t.is(server.ran.length + other.ran.length, 2);
  });
});

test('an unknown key, or none, is refused at once and reaches no server; a public route needs none', async (t) => {
  await withServer(t, async (rig, server) => {
    const unknown = withKey('nobody-has-this');
    t.is((await askEntry(rig.port, { path: '/lookup/1', headers: unknown })).status, 401);
    t.is((await askEntry(rig.port, { path: '/lookup/1' })).status, 401);
    t.is((await askEntry(rig.port, { path: '/nowhere/1', headers: unknown })).status, 404);
    t.is(server.ran.length, 0);
    const headers = { ...unknown, 'Tarragonstile-Tenant': 'large' };
    t.is((await askEntry(rig.port, { path: '/open/1', headers })).status, 200);
    t.is(server.ran[0]!['tarragonstile-tenant'], undefined);
    t.is(server.ran[0]!.authorization, undefined);
    t.is(rig.said('request refused')?.fields.reason, 'key-unknown');
  });
});

test('a key that is added is taken, one that is removed is refused on a kept connection too', async (t) => {
  await withServer(t, async (rig) => {
    const ask = (key: string) => askEntry(rig.port, { path: '/lookup/1', headers: withKey(key) });
    t.is((await ask(SECOND)).status, 200);
    const line = `GET /lookup/1 HTTP/1.1\r\nHost: caller.example\r\nTarragonstile-Request-Id: k\r\nAuthorization: Bearer ${SECOND}\r\n`;
    const platform = rig;
    platform.customers = [
      { name: 'large', keys: [LARGE] },
      { name: 'small', keys: [SMALL, 'a-new-one'] },
    ];
    rig.configure(2);
    await rig.until(() => rig.entry.table?.version === 2);
    const kept = await askRaw(rig.port, `${line}Connection: close\r\n\r\n`);
    t.is(kept.status, 401);
    t.is((await ask('a-new-one')).status, 200);
    t.is((await ask(LARGE)).status, 200);
  });
});

test('a key that is removed while its request waits for a repeat is not sent on', async (t) => {
  await withServer(t, async (rig, server) => {
    server.manners.push('full', 'slow');
    // Nothing else can take it for the pause before a refusal is tried once more.
    const asked = askEntry(rig.port, { path: '/lookup/1', headers: withKey(SECOND) });
    const platform = rig;
    platform.customers = [{ name: 'large', keys: [LARGE] }];
    rig.configure(2);
    const answer = await asked;
    const ranAfter = server.ran.filter((headers) => headers['tarragonstile-tenant'] === 'large');
    // Either it ran before the new version came, or it was refused as what it is.
    t.true(answer.status === 200 ? ranAfter.length === 1 : answer.status === 401);
  });
});

test('where no customers are configured, what the caller sent as its credential goes on', async (t) => {
  const rig = new PlatformRig();
  const server = new PlatformServer('p1', 'plain');
  await rig.start([server]);
  const headers = { ...withKey(LARGE), 'Tarragonstile-Tenant': 'large' };
  t.is((await askEntry(rig.port, { path: '/lookup/1', headers })).status, 200);
  t.is(server.ran[0]!.authorization, `Bearer ${LARGE}`);
  // The name is ours to set, and there is none.
  t.is(server.ran[0]!['tarragonstile-tenant'], undefined);
  rig.close();
});

test('a configuration that cannot be read leaves the one before in force, with a line that quotes no key', async (t) => {
  await withServer(t, async (rig) => {
    rig.store.put('op/config', `{"version":2,"tenants":[{"name":"x","api_keys":["${LARGE}"`);
    await rig.until(() => rig.said('configuration not readable') !== undefined);
    const answer = await askEntry(rig.port, { path: '/lookup/1', headers: withKey(LARGE) });
    t.is(answer.status, 200);
    t.is(rig.lines.filter(({ message }) => message === 'configuration not readable').length, 1);
  });
});

test('an entry that cannot tell whether a key was removed refuses it, where that is asked for', async (t) => {
  for (const strictRevokeMs of [undefined, 1800]) {
    const rig = new PlatformRig();
    rig.customers = CUSTOMERS;
    rig.strictRevokeMs = strictRevokeMs;
    await rig.start([new PlatformServer('p1', 'plain')]);
    const ask = () => askEntry(rig.port, { path: '/lookup/1', headers: withKey(LARGE) });
    t.is((await ask()).status, 200);
    rig.store.close();
    await rig.until(() => rig.said('store lost') !== undefined);
    // A key that nobody knows here may have been added meanwhile.
    const unknown = { path: '/lookup/1', headers: withKey('nobody-has-this') };
    t.is((await askEntry(rig.port, unknown)).status, 503);
    if (strictRevokeMs === undefined) t.is((await ask()).status, 200);
    else {
      let answer = await ask();
      while (answer.status === 200) answer = await ask();
      t.is(answer.status, 503);
      t.regex(answer.body, /outdated/);
    }
    rig.close();
  }
});

test('what is over the limit is refused with 429 and the time at which there is room; other customers are served', async (t) => {
  const limited = [
    { name: 'large', keys: [LARGE], rate: 400, burst: 1000 },
    { name: 'small', keys: [SMALL], rate: 400, burst: 1000 },
  ];
  await withServer(
    t,
    async (rig, server) => {
      const ask = (key: string) =>
        askEntry(rig.port, {
          path: '/lookup/1',
          headers: { ...withKey(key), 'Tarragonstile-Token-Usage': '300,100' },
        });
      // Until the holder has answered once, nobody knows the limit's state.
      let refused = await ask(LARGE);
      while (refused.status !== 429) refused = await ask(LARGE);
      t.regex(refused.head, /retry-after: \d/i);
      t.regex(refused.body, /"executed":"no"/);
      // (8 s x 400 + 1,000) x 1.1 + 500 tokens may be sent in a window; no more than that by far.
      const ranOfLarge = server.ran.filter(({ 'tarragonstile-tenant': name }) => name === 'large');
      t.true(ranOfLarge.length * 400 <= 4200 * 1.1 + 500);
      let other = await ask(SMALL);
      while (other.status !== 200) other = await ask(SMALL);
      t.true(server.ran.some((headers) => headers['tarragonstile-tenant'] === 'small'));
    },
    limited,
  );
});
