import { VirtualClock, type CustomerId, type HostId, type KeyHash } from '../src/base/index.js';
import type { AccessTable, CustomerSpec, Quota } from '../src/core/access/index.js';
import { decideAccess, type RouteTable } from '../src/core/routetable/index.js';
import { Charge, QuotaClient } from '../src/direct/quota/index.js';
import { bearerHash, hashKey } from '../src/shell/hash/index.js';
import type { Bench } from './bench.js';

const HOST = 'caller.example';
const KEYS_PER_CUSTOMER = 10;
const REQUESTS = 100_000;
const US_PER_MS = 1000;
const QUOTA: Quota = { unit: 'tokens', ratePerS: 1e9, burst: 1e9, plainTokens: 200 };
const TERMS = { windowMs: 8000, overshoot: 0.1, slack: 7500 };
const COST = 994;

function accessOf(keys: number): AccessTable | undefined {
  if (keys === 0) return undefined;
  const customers = new Map<CustomerId, CustomerSpec>();
  const customerByKey = new Map<KeyHash, CustomerSpec>();
  for (let at = 0; at < keys; at += 1) {
    const id = `customer-${Math.floor(at / KEYS_PER_CUSTOMER)}` as CustomerId;
    const customer = customers.get(id) ?? { id, quota: QUOTA };
    customers.set(id, customer);
    customerByKey.set(hashKey(`key-${at}`), customer);
  }
  return { customers, customerByKey };
}

function tableOf(access: AccessTable | undefined): RouteTable {
  const route = { name: 'r', host: HOST, pathPrefix: '/r/', isPublic: false };
  return { routesByHost: new Map([[HOST, [route]]]), access } as unknown as RouteTable;
}

function elapsedMs(act: () => void): number {
  const startMs = performance.now();
  act();
  return performance.now() - startMs;
}

/** Returns the time to index the keys of a configuration, in milliseconds. */
function indexMs(keys: number): number {
  accessOf(keys);
  return Math.round(elapsedMs(() => accessOf(keys)) * 10) / 10;
}

/** Returns the time of one request's key and quota checks in microseconds, with the quota already at the entry. */
function requestUs(keys: number): number {
  const table = tableOf(accessOf(keys));
  const clock = new VirtualClock();
  const entry = 'entry-1' as HostId;
  const draw = () => Promise.resolve(undefined);
  const client = new QuotaClient({ entry, clock, terms: TERMS, parts: () => 1, draw });
  for (const id of table.access?.customers.keys() ?? []) client.refund(id, Number.MAX_SAFE_INTEGER);
  const authorization = keys === 0 ? undefined : 'Bearer key-1';
  const ms = elapsedMs(() => {
    for (let at = 0; at < REQUESTS; at += 1) {
      const keyHash = bearerHash(authorization);
      const decision = decideAccess(table, { host: HOST, path: '/r/1', keyHash });
      if (decision.type !== 'allowed') continue;
      const charge = new Charge(client, clock, decision.customer, COST);
      void charge.pay(0);
      charge.settle(1);
    }
  });
  return Math.round(((ms * US_PER_MS) / REQUESTS) * 100) / 100;
}

/** Measures the cost of keys and quotas: indexing the keys of a configuration, and the checks of each request. */
export const accessCost: Bench = () =>
  Promise.resolve({
    indexMs: {
      '100 keys': indexMs(100),
      '1,000 keys': indexMs(1000),
      '10,000 keys': indexMs(10_000),
    },
    requestUs: {
      'no keys': requestUs(0),
      '10 keys': requestUs(10),
      '10,000 keys': requestUs(10_000),
    },
  });
