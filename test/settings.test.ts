import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { entrySchema, loadSettings, sidecarSchema } from '../src/index.js';

const ROOT = join(import.meta.dirname, '..', '..', 'settings');

const SIDECAR = `{
  // a comment
  "upstream": "u",
  "service": "s",
  "hostId": "h",
  "region": "r",
  "availabilityZone": "z",
  "listen": "127.0.0.1:0",
  "upstreamUrl": "http://127.0.0.1:1"
}`;

function load(text: string) {
  const file = join(mkdtempSync(join(tmpdir(), 'tarragonstile-')), 'sidecar.jsonc');
  writeFileSync(file, text);
  return { file, loaded: loadSettings(file, sidecarSchema) };
}

for (const deployment of readdirSync(ROOT)) {
  for (const name of readdirSync(join(ROOT, deployment))) {
    test(`the example settings ${deployment}/${name} can be loaded`, (t) => {
      const file = join(ROOT, deployment, name);
      const loaded =
        name === 'entry.jsonc'
          ? loadSettings(file, entrySchema)
          : loadSettings(file, sidecarSchema);
      t.true(loaded.ok, loaded.err ? loaded.val.detail : '');
    });
  }
}

/** Edits of the settings and the resulting message: line, column, field and what was expected. */
const EDITS: Readonly<Record<string, readonly [from: string, to: string, expected: string]>> = {
  'a missing field': ['"hostId": "h",', '', ":1:1: (root): must have required property 'hostId'"],
  'a wrong type': ['"r"', '7', ':6:3: region: must be string'],
  'a value outside its range': ['"region"', '"slots": 0, "region"', ':6:3: slots: must be >= 1'],
  'an unknown field': [
    '"region"',
    '"slotz": 4, "region"',
    ':6:3: slotz: unknown field; did you mean slots?',
  ],
  'a value that is not in the enum': [
    '"region"',
    '"logLevel": "loud", "region"',
    ':6:3: logLevel: must be equal to one of the allowed values: error, warn, info, debug',
  ],
  'a host name in place of an IP number': [
    '127.0.0.1:0',
    'sidecar.example:7000',
    ':8:3: listen: expected an IP number and port, for example 10.0.0.1:7000 or [fd00::1]:7000, found "sidecar.example:7000"',
  ],
  'a port that does not exist': [
    '127.0.0.1:0',
    '127.0.0.1:70000',
    ':8:3: listen: expected an IP number and port, for example 10.0.0.1:7000 or [fd00::1]:7000, found "127.0.0.1:70000"',
  ],
  'a nested field': [
    '"region"',
    '"store": { "urls": ["ftp://a"] }, "region"',
    ':6:23: store.urls.0: expected an http or https URL, found "ftp://a"',
  ],
  'a syntax error': ['"service": "s",', '"service" "s",', ':4:13: ColonExpected'],
};

for (const [name, [from, to, expected]] of Object.entries(EDITS)) {
  test(`${name} in settings is reported with its position`, (t) => {
    const { file, loaded } = load(SIDECAR.replace(from, to));
    t.is(loaded.err && loaded.val.detail, `${file}${expected}`);
  });
}

test('an unreadable settings file has a failure type of its own', (t) => {
  const loaded = loadSettings('/nowhere/sidecar.jsonc', sidecarSchema);
  t.is(loaded.err && loaded.val.type, 'settings-unreadable');
});

test('defaults are filled in, and an IPv6 address is accepted', (t) => {
  const { loaded } = load(SIDECAR.replace('127.0.0.1:0', '[::1]:7000'));
  t.like(loaded.unwrap(), { slots: 16, drainTimeoutMs: 30_000, logLevel: 'info', peerTls: null });
});

/** Fields and defaults of a schema. */
interface Fields {
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, Fields>>;
}

function fieldsOf({ properties = {} }: Fields, prefix = ''): readonly [string, unknown][] {
  return Object.entries(properties).flatMap(([name, field]) =>
    field.properties
      ? fieldsOf(field, `${prefix}${name}.`)
      : [[`${prefix}${name}`, field.default] as [string, unknown]],
  );
}

test('docs/operators/settings.md lists exactly the fields of the schemas, with their defaults', (t) => {
  const page = join(ROOT, '..', 'docs', 'operators', 'settings.md');
  const table = readFileSync(page, 'utf8').split('## All fields')[1] ?? '';
  const rows = table.split('\n').filter((line) => line.startsWith('| `'));
  const listed = new Map<string, string>();
  for (const row of rows) {
    const [, names = '', , values = ''] = row.split(' | ').join('|').split('|');
    const fields = [...names.matchAll(/`([^`]+)`/g)].map(([, name]) => name!);
    const defaults = values.split(', ');
    for (const [index, field] of fields.entries()) {
      listed.set(field, defaults[index] ?? defaults.at(-1) ?? '');
    }
  }
  const fields = [entrySchema, sidecarSchema].flatMap((schema) => fieldsOf(schema as Fields));
  t.deepEqual([...listed.keys()].sort(), [...new Set(fields.map(([name]) => name))].sort());
  for (const [field, value] of fields) {
    if (value !== undefined && value !== null) {
      t.is(listed.get(field)?.trim(), String(value), field);
    }
  }
});
