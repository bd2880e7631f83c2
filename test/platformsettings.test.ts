import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { settingsSchema } from '../platform/settingsschema.js';
import { loadSettings } from '../src/shell/settings/index.js';

/** Values that the platform inserts into the template. */
const FIELDS: Readonly<Record<string, unknown>> = {
  node: 'front-1',
  ip: '10.1.0.38',
  zone: 'z1',
  'limits.cpu_share': 0.513,
  'limits.cores': 1,
  'listen.front': '10.1.0.38:8149',
  'listen.ready': '10.1.0.38:8141',
  internal_port_range: [7380, 7395],
  'platform.address': '10.200.1.7:8142',
  'platform.ttl_min_ms': 1000,
  heartbeat_ms: 1200,
  'bounds.grace_s': 8,
  'bounds.retry_budget_ratio': 0.2,
  'bounds.budget_slack': 56,
  'bounds.budget_window_s': 10,
  'bounds.lease_ms': 3000,
  'bounds.ceiling_window_s': 5,
  'bounds.ceiling_overshoot': 1.1,
};

/** A section of the template, which the platform keeps only if its field is set. */
const SECTION = /\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g;

function load(fields: Readonly<Record<string, unknown>>) {
  const template = readFileSync('deploy/entry.jsonc', 'utf8');
  const resolved = template.replaceAll(SECTION, (_all, name: string, inner: string) =>
    fields[name] === undefined ? '' : inner,
  );
  const text = resolved.replaceAll(/\{\{([\w.]+)\|json\}\}/g, (_all, name: string) =>
    JSON.stringify(fields[name] ?? null),
  );
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const file = join(folder, 'entry.jsonc');
  writeFileSync(file, text);
  const loaded = loadSettings(file, settingsSchema);
  rmSync(folder, { recursive: true });
  return loaded;
}

test('the filled template satisfies the settings schema', (t) => {
  const settings = load(FIELDS);
  t.true(settings.ok);
  if (settings.ok) t.is(settings.val.storeAddress, '10.200.1.7:8142');
});

test('quota bounds are read if the platform sets them', (t) => {
  t.is(load(FIELDS).unwrap().quotaWindowS, undefined);
  const bounds = {
    'bounds.quota_window_s': 8,
    'bounds.quota_overshoot': 0.1,
    'bounds.quota_slack': 0,
  };
  const settings = load({ ...FIELDS, ...bounds }).unwrap();
  const { quotaWindowS, quotaOvershoot, quotaSlack } = settings;
  t.deepEqual(
    { quotaWindowS, quotaOvershoot, quotaSlack },
    {
      quotaWindowS: 8,
      quotaOvershoot: 0.1,
      quotaSlack: 0,
    },
  );
});

test('the failure names the missing or invalid field', (t) => {
  const cases: readonly [string, unknown, string][] = [
    ['platform.address', undefined, 'storeAddress'],
    ['listen.front', 'nowhere', 'callersAddress'],
    ['internal_port_range', [1], 'peerPorts'],
    ['bounds.grace_s', '8', 'graceS'],
  ];
  for (const [name, value, field] of cases) {
    const settings = load({ ...FIELDS, [name]: value });
    t.true(settings.err);
    if (settings.err) t.is(settings.val.field, field);
  }
});
