import test from 'ava';
import fc from 'fast-check';
import { configurationOf } from '../standin/platform/index.js';
import { decodeReport } from '../platform/decodereport.js';
import { decodeSelfReport } from '../platform/decodeselfreport.js';
import { decodeSharedParts } from '../platform/decodesharedparts.js';
import { decodeTable } from '../platform/decodetable.js';
import { decodeSuspects } from '../src/direct/poison/decodesuspects.js';

const OPTIONS = { numRuns: 1500, seed: 74 };

const REPORT = {
  busy: false,
  born: 1_700_000_000_000,
  seq: 2,
  coming: ['m1/a1@1'],
  models: [{ name: 'm1', version: 1, adapters: ['a2', { name: 'a3' }] }],
};
const TABLE = configurationOf(
  3,
  'host.example',
  [{ name: 'draft', kind: 'streaming', service: 'engine', resumable: true }],
  [{ name: 'c1', keys: ['k1'], priority: 1, rate: 10, burst: 5 }],
);
const CRASH = { upstream: 'u1', runMs: 5, chance: 0.5, isTrial: false, state: 'open' };
const SUSPECTS = { suspects: [{ trait: 't1', service: 's', sinceWallMs: 1, crashes: [CRASH] }] };

/** Returns the paths of all values within a value. */
function pathsOf(value: unknown): string[][] {
  if (typeof value !== 'object' || value === null) return [[]];
  const inner = Object.entries(value).flatMap(([name, field]) =>
    pathsOf(field).map((path) => [name, ...path]),
  );
  return [[], ...inner];
}

function replaced(value: unknown, [name, ...rest]: readonly string[], by: unknown): unknown {
  if (name === undefined) return by;
  if (Array.isArray(value)) {
    return value.map((item, at) => (String(at) === name ? replaced(item, rest, by) : item));
  }
  const fields = value as Record<string, unknown>;
  return { ...fields, [name]: replaced(fields[name], rest, by) };
}

/** Texts in which up to two values of a sound message are replaced by others. */
function mutated(sound: object): fc.Arbitrary<string> {
  const path = fc.constantFrom(...pathsOf(sound));
  const value = fc.oneof(
    fc.jsonValue({ maxDepth: 1 }),
    fc.constantFrom<unknown>('__proto__', -1, 2 ** 31, 1e308, {}, [null], undefined),
  );
  const change = (text: unknown, [at, by]: [string[], unknown]) => {
    try {
      return replaced(text, at, by);
    } catch {
      return text;
    }
  };
  return fc
    .array(fc.tuple(path, value), { maxLength: 2 })
    .map((changes) => JSON.stringify(changes.reduce<unknown>(change, sound)) ?? '');
}

function isFiniteList(values: readonly number[]): boolean {
  return values.every((value) => Number.isFinite(value) && value >= 0);
}

// Guards against reports of servers with fields of another type, which ended the entry where they were used.
test('a report with wrong fields is decoded as none or as a sound one', (t) => {
  t.truthy(decodeReport(JSON.stringify(REPORT)));
  const cases = fc.property(mutated(REPORT), (text) => {
    const report = decodeReport(text);
    if (!report) return;
    t.true(isFiniteList([report.orderCount, report.startedAtMs ?? 0]), text);
    t.is(typeof report.isBusy, 'boolean');
    for (const [model, { version, adapters }] of report.models) {
      t.true(isFiniteList([version]) && model !== '', text);
      t.true([...adapters].every((adapter) => typeof adapter === 'string'));
    }
  });
  fc.assert(cases, OPTIONS);
});

// Guards against configurations whose times are no numbers, which reached timers.
test('a configuration with wrong fields is decoded as none or as a sound one', (t) => {
  t.true(decodeTable(JSON.stringify(TABLE)).ok);
  const cases = fc.property(mutated(TABLE), (text) => {
    const decoded = decodeTable(text);
    if (decoded.err) return;
    const { limits, routesByHost, services } = decoded.val;
    t.true(isFiniteList(Object.values(limits)), text);
    for (const route of [...routesByHost.values()].flat()) {
      const { timeoutMs, targetLatencyMs, gapTargetMs, priority, maxAttempts, kind } = route;
      const numbers = [timeoutMs, targetLatencyMs, gapTargetMs, priority, maxAttempts];
      t.true(isFiniteList(numbers), text);
      t.is(typeof kind, 'string');
    }
    for (const { engine, maxConnections } of services.values()) {
      t.true(isFiniteList([maxConnections, engine?.weightsMb ?? 0]), text);
    }
  });
  fc.assert(cases, OPTIONS);
});

test('records of suspects, headers and prompts are decoded whatever they hold', (t) => {
  t.truthy(decodeSuspects(JSON.stringify(SUSPECTS)));
  const suspects = fc.property(mutated(SUSPECTS), (text) => {
    for (const { crashes } of decodeSuspects(text) ?? []) {
      t.true(crashes.every(({ upstream }) => typeof upstream === 'string'));
    }
  });
  fc.assert(suspects, OPTIONS);
  const names = ['Server-Limit', 'Server-Leaving', 'Retry-After'];
  const header = fc.tuple(fc.constantFrom(...names), fc.string());
  const heads = fc.property(fc.array(header), fc.nat(600), (pairs, status) => {
    const { rate, backoffMs } = decodeSelfReport({ status, headers: pairs.flat(), isOfRun: true });
    t.true(isFiniteList([backoffMs ?? 0, rate.type === 'limited' ? rate.perS : 0]));
  });
  fc.assert(heads, OPTIONS);
  fc.assert(
    fc.property(fc.string(), (text) => {
      t.true(Array.isArray(decodeSharedParts(text)));
    }),
    OPTIONS,
  );
});
