import test, { type ExecutionContext } from 'ava';
import { PlatformServer } from '../standin/platform/index.js';
import { callEntry } from './support/callentry.js';
import { sendRaw } from './support/sendraw.js';
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
  // No key may appear in a log line.
  for (const key of [LARGE, SECOND, SMALL]) t.false(JSON.stringify(rig.lines).includes(key));
  rig.close();
}

test('a server receives the customer of the key, whatever the caller claims, but not the key', async (t) => {
  await withServer(t, async (rig, server) => {
    const headers = { ...withKey(LARGE), 'Tarragonstile-Tenant': 'small' };
    t.is((await callEntry(rig.port, { path: '/lookup/1', headers })).status, 200);
    const [ran] = server.runs;
    t.is(ran!['tarragonstile-tenant'], 'large');
    t.is(ran!.authorization, undefined);
    // The customer's priority, 0, takes precedence over that of the route, 1.
    t.is(ran!['tarragonstile-request-priority'], '1');
    await callEntry(rig.port, { path: '/lookup/1', headers: withKey(SMALL) });
    t.is(server.runs[1]!['tarragonstile-tenant'], 'small');
    t.is(server.runs[1]!['tarragonstile-request-priority'], '3');
  });
});

test('the customer is also sent with the second attempt', async (t) => {
  await withServer(t, async (rig, server) => {
    server.behaviors.push('error');
    const other = new PlatformServer('p2', 'plain', 'z2');
    await rig.add(other);
    await rig.until(() => rig.entry.fleet.get('p2' as never) !== undefined);
    const headers = { ...withKey(SMALL), 'Tarragonstile-Tenant': 'large' };
    t.is((await callEntry(rig.port, { path: '/lookup/1', headers })).status, 200);
    for (const ran of [...server.runs, ...other.runs]) t.is(ran['tarragonstile-tenant'], 'small');
    t.is(server.runs.length + other.runs.length, 2);
  });
});

test('a request without a known key is refused at once and reaches no server, except on a public route', async (t) => {
  await withServer(t, async (rig, server) => {
    const unknown = withKey('nobody-has-this');
    t.is((await callEntry(rig.port, { path: '/lookup/1', headers: unknown })).status, 401);
    t.is((await callEntry(rig.port, { path: '/lookup/1' })).status, 401);
    t.is((await callEntry(rig.port, { path: '/nowhere/1', headers: unknown })).status, 404);
    t.is(server.runs.length, 0);
    const headers = { ...unknown, 'Tarragonstile-Tenant': 'large' };
    t.is((await callEntry(rig.port, { path: '/open/1', headers })).status, 200);
    t.is(server.runs[0]!['tarragonstile-tenant'], undefined);
    t.is(server.runs[0]!.authorization, undefined);
    t.is(rig.findLine('request refused')?.fields.reason, 'key-unknown');
  });
});

test('after a configuration change, an added key is accepted and a removed key is refused', async (t) => {
  await withServer(t, async (rig) => {
    const ask = (key: string) => callEntry(rig.port, { path: '/lookup/1', headers: withKey(key) });
    t.is((await ask(SECOND)).status, 200);
    const line = `GET /lookup/1 HTTP/1.1\r\nHost: caller.example\r\nTarragonstile-Request-Id: k\r\nAuthorization: Bearer ${SECOND}\r\n`;
    const changedRig = rig;
    changedRig.customers = [
      { name: 'large', keys: [LARGE] },
      { name: 'small', keys: [SMALL, 'a-new-one'] },
    ];
    rig.configure(2);
    await rig.until(() => rig.entry.table?.version === 2);
    const kept = await sendRaw(rig.port, `${line}Connection: close\r\n\r\n`);
    t.is(kept.status, 401);
    t.is((await ask('a-new-one')).status, 200);
    t.is((await ask(LARGE)).status, 200);
  });
});

test('a request whose key is removed while it waits for its next attempt is not sent', async (t) => {
  await withServer(t, async (rig, server) => {
    server.behaviors.push('full', 'slow');
    // No other server can run it, so it waits before the next attempt.
    const pending = callEntry(rig.port, { path: '/lookup/1', headers: withKey(SECOND) });
    const changedRig = rig;
    changedRig.customers = [{ name: 'large', keys: [LARGE] }];
    rig.configure(2);
    const answer = await pending;
    const largeRuns = server.runs.filter((headers) => headers['tarragonstile-tenant'] === 'large');
    // It either ran before the new configuration arrived or was refused for its key.
    t.true(answer.status === 200 ? largeRuns.length === 1 : answer.status === 401);
  });
});

test("if no customers are configured, the caller's credential is forwarded", async (t) => {
  const rig = new PlatformRig();
  const server = new PlatformServer('p1', 'plain');
  await rig.start([server]);
  const headers = { ...withKey(LARGE), 'Tarragonstile-Tenant': 'large' };
  t.is((await callEntry(rig.port, { path: '/lookup/1', headers })).status, 200);
  t.is(server.runs[0]!.authorization, `Bearer ${LARGE}`);
  // Only the entry may set the customer, and there is none.
  t.is(server.runs[0]!['tarragonstile-tenant'], undefined);
  rig.close();
});

test('an unreadable configuration leaves the previous one in force, and the log line quotes no key', async (t) => {
  await withServer(t, async (rig) => {
    rig.store.put('op/config', `{"version":2,"tenants":[{"name":"x","api_keys":["${LARGE}"`);
    await rig.until(() => rig.findLine('configuration not readable') !== undefined);
    const answer = await callEntry(rig.port, { path: '/lookup/1', headers: withKey(LARGE) });
    t.is(answer.status, 200);
    t.is(rig.lines.filter(({ message }) => message === 'configuration not readable').length, 1);
  });
});

test('an entry with strict revocation refuses keys once its configuration may be outdated', async (t) => {
  for (const strictRevokeMs of [undefined, 1800]) {
    const rig = new PlatformRig();
    rig.customers = CUSTOMERS;
    rig.strictRevokeMs = strictRevokeMs;
    await rig.start([new PlatformServer('p1', 'plain')]);
    const ask = () => callEntry(rig.port, { path: '/lookup/1', headers: withKey(LARGE) });
    t.is((await ask()).status, 200);
    rig.store.close();
    await rig.until(() => rig.findLine('store lost') !== undefined);
    // An unknown key may have been added since the store was lost.
    const unknown = { path: '/lookup/1', headers: withKey('nobody-has-this') };
    t.is((await callEntry(rig.port, unknown)).status, 503);
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

test('requests over the quota get 429 with a retry-after time, and other customers are served', async (t) => {
  const limited = [
    { name: 'large', keys: [LARGE], rate: 400, burst: 1000 },
    { name: 'small', keys: [SMALL], rate: 400, burst: 1000 },
  ];
  await withServer(
    t,
    async (rig, server) => {
      const ask = (key: string) =>
        callEntry(rig.port, {
          path: '/lookup/1',
          headers: { ...withKey(key), 'Tarragonstile-Token-Usage': '300,100' },
        });
      // The state of the quota is unknown until the entry that keeps the quotas has answered once.
      let refused = await ask(LARGE);
      while (refused.status !== 429) refused = await ask(LARGE);
      t.regex(refused.head, /retry-after: \d/i);
      t.regex(refused.body, /"executed":"no"/);
      // At most (8 s x 400 + 1,000) x 1.1 + 500 tokens may be sent in a window.
      const largeRuns = server.runs.filter(({ 'tarragonstile-tenant': name }) => name === 'large');
      t.true(largeRuns.length * 400 <= 4200 * 1.1 + 500);
      let other = await ask(SMALL);
      while (other.status !== 200) other = await ask(SMALL);
      t.true(server.runs.some((headers) => headers['tarragonstile-tenant'] === 'small'));
    },
    limited,
  );
});
