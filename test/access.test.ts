import test from 'ava';
import { decodeTable } from '../platform/decodetable.js';
import type { CustomerId, KeyHash } from '../src/base/index.js';
import { decideAccess, requestUrgency, type RouteTable } from '../src/core/routetable/index.js';
import { bearerHash, hashKey } from '../src/shell/hash/index.js';
import { configurationOf } from '../standin/platform/index.js';

const HOST = 'caller.example';
const ROUTES: Parameters<typeof configurationOf>[2] = [
  { name: 'lookup', kind: 'idempotent', service: 'plain' },
  { name: 'open', kind: 'idempotent', service: 'plain', isPublic: true },
];

function decoded(customers?: Parameters<typeof configurationOf>[3]): RouteTable {
  const text = JSON.stringify(configurationOf(1, HOST, ROUTES, customers));
  return decodeTable(text).unwrap();
}

function accessResult(table: RouteTable, path: string, key?: string): string {
  const keyHash = bearerHash(key && `Bearer ${key}`);
  const decision = decideAccess(table, { host: HOST, path, keyHash });
  return decision.type === 'allowed' ? (decision.customer?.id ?? 'anyone') : decision.type;
}

test('the route is matched first, then the key alone determines the customer', (t) => {
  const table = decoded([
    { name: 'large', keys: ['k1', 'k2'] },
    { name: 'small', keys: ['k3'] },
  ]);
  t.is(accessResult(table, '/lookup/1', 'k1'), 'large');
  t.is(accessResult(table, '/lookup/1', 'k2'), 'large');
  t.is(accessResult(table, '/lookup/1', 'k3'), 'small');
  t.is(accessResult(table, '/lookup/1', 'k4'), 'key-unknown');
  t.is(accessResult(table, '/lookup/1'), 'key-unknown');
  t.is(accessResult(table, '/nowhere/1', 'k4'), 'route-unknown');
  t.is(accessResult(table, '/open/1'), 'anyone');
  t.is(accessResult(table, '/open/1', 'k4'), 'anyone');
  t.is(accessResult(table, '/open/1', 'k3'), 'small');
});

test('without a customer list any caller is accepted', (t) => {
  t.is(accessResult(decoded(), '/lookup/1'), 'anyone');
  // An empty list still requires a key, and no key matches.
  t.is(accessResult(decoded([]), '/lookup/1', 'k1'), 'key-unknown');
});

test('keys are stored only as hashes', (t) => {
  const table = decoded([{ name: 'large', keys: ['a-secret'] }]);
  const hashes = [...table.access!.customerByKey.keys()];
  t.deepEqual(hashes, [hashKey('a-secret')]);
  t.false(JSON.stringify([...table.access!.customers]).includes('a-secret'));
});

test('only a bearer key in the Authorization header counts as a key', (t) => {
  const hash = hashKey('k1');
  t.is(bearerHash('Bearer k1'), hash);
  t.is(bearerHash('bearer  k1 '), hash);
  for (const other of [undefined, '', 'Bearer', 'Bearer ', 'Basic k1', 'k1']) {
    t.is(bearerHash(other), undefined as KeyHash | undefined);
  }
});

test('a configuration with invalid or ambiguous customers is rejected', (t) => {
  const sound = { name: 'large', api_keys: ['k1'] };
  const faulty: readonly unknown[] = [
    [sound, { name: 'small', api_keys: ['k1'] }],
    [sound, { name: 'large', api_keys: ['k2'] }],
    [{ api_keys: ['k1'] }],
    [{ name: 'large', api_keys: [7] }],
    [{ name: 'large', api_keys: [''] }],
    [{ name: 'large', api_keys: 7 }],
    [{ name: 'large', api_keys: ['k1'], rate_per_s: 'much' }],
    [{ name: 'large', api_keys: ['k1'], rate_per_s: 1, burst: -1 }],
    { name: 'large' },
    [null],
  ];
  for (const tenants of faulty) {
    const text = JSON.stringify({ ...configurationOf(1, HOST, ROUTES), tenants });
    const table = decodeTable(text);
    t.true(table.err, JSON.stringify(tenants));
    t.false(JSON.stringify(table.val).includes('k1'));
  }
});

test('a quota is decoded with its unit; a rate of 0 means no quota', (t) => {
  const { customers } = decoded([
    { name: 'large', keys: ['k1'], rate: 900, burst: 300, priority: 0 },
    { name: 'small', keys: ['k2'] },
  ]).access!;
  const large = customers.get('large' as CustomerId)!;
  t.is(large.priority, 0);
  t.deepEqual(large.quota, { unit: 'tokens', ratePerS: 900, burst: 300, plainTokens: 200 });
  t.is(customers.get('small' as CustomerId)!.quota, undefined);
});

test("requests are ranked by the customer's priority first, then by the route's", (t) => {
  const table = decoded([
    { name: 'first', keys: ['k1'], priority: 1 },
    { name: 'same', keys: ['k2'], priority: 1 },
    { name: 'last', keys: ['k3'], priority: 2 },
  ]);
  const { access } = table;
  const [lookup] = table.routesByHost.get(HOST)!;
  const urgent = { ...lookup!, priority: 0 };
  const usual = { ...lookup!, priority: 1 };
  const of = (name: string) => access!.customers.get(name as CustomerId);
  const ranks = [
    requestUrgency(urgent, of('first'), access),
    requestUrgency(usual, of('same'), access),
    requestUrgency(urgent, of('last'), access),
    requestUrgency(usual, of('last'), access),
  ].map(({ rank }) => rank);
  t.deepEqual(ranks, [2, 3, 4, 5]);
  t.true(requestUrgency(urgent, of('same'), access).isFirst);
  t.false(requestUrgency(usual, of('same'), access).isFirst);
  t.false(requestUrgency(urgent, of('last'), access).isFirst);
  // Without customers only the route's priority counts.
  t.deepEqual(requestUrgency(urgent, undefined, undefined), { rank: 1, isFirst: true });
  t.deepEqual(requestUrgency(usual, undefined, undefined), { rank: 3, isFirst: false });
});
