import { execFile } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { startEntry } from '../src/index.js';
import { MemoryStore, StoreServer } from '../standin/index.js';

const ROOT = join(import.meta.dirname, '..', '..');
const BIN = join(ROOT, 'bin', 'tarragonstile.js');
const PADRON = join(ROOT, 'examples', 'reenvio-norte', 'padron.jsonc');

interface Ran {
  readonly exitCode: number;
  readonly out: string;
  readonly errors: string;
}

function run(...args: string[]): Promise<Ran> {
  return new Promise((resolve) => {
    const child = execFile(process.execPath, [BIN, ...args], (_error, out, errors) => {
      resolve({ exitCode: child.exitCode ?? -1, out, errors });
    });
  });
}

/** Runs a command with `--json` and returns its output. */
async function jsonOf<Output>(...args: string[]): Promise<Output> {
  const { out } = await run(...args, '--json');
  return JSON.parse(out) as Output;
}

async function openStore() {
  const store = new MemoryStore();
  const server = new StoreServer(store);
  return { store, server, url: await server.listen() };
}

/** Writes an edited copy of the example document of the plain service, and returns its path. */
function edited(from: string, to: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'tarragonstile-')), 'padron.jsonc');
  writeFileSync(file, readFileSync(PADRON, 'utf8').replace(from, to));
  return file;
}

test('a document is checked, applied, read, changed and rolled back', async (t) => {
  const { server, url } = await openStore();
  const store = ['--store', url];
  t.is((await run('check', PADRON)).exitCode, 0);
  const first = ['--expect', '0', '--cause', 'first', '--change-id', 'c1'];
  t.is((await run('apply', PADRON, ...first, ...store)).exitCode, 0);
  const slow = edited('"deadlineMs": 500', '"deadlineMs": 700');
  const racing = await run('apply', slow, '--expect', '0', ...store);
  t.is(racing.exitCode, 4);
  t.regex(racing.errors, /revision-conflict[^]*- +"deadlineMs": 500[^]*\+ +"deadlineMs": 700/);
  const { revision } = await jsonOf<{ revision: number }>('get', 'padron', ...store);
  const second = ['--expect', String(revision), '--change-id', 'c2'];
  t.is((await run('apply', slow, ...second, ...store)).exitCode, 0);
  const back = ['rollback', 'padron', '--to', 'c1', '--expect', String(revision + 1)];
  t.is((await run(...back, ...store)).exitCode, 0);
  const same = await jsonOf<{ diff: string }>('diff', PADRON, ...store);
  t.is(same.diff, '');
  const audit = await jsonOf<{ whole: boolean; entries: { act: string; cause: string }[] }>(
    'audit',
    'padron',
    ...store,
  );
  t.true(audit.whole);
  t.deepEqual(
    audit.entries.map(({ act, cause }) => [act, cause]),
    [
      ['apply', 'first'],
      ['apply', ''],
      ['rollback', ''],
    ],
  );
  await server.close();
});

test('a document cannot change its region, and a service has the same owner in all regions', async (t) => {
  const { store, server, url } = await openStore();
  const where = ['--store', url];
  t.is((await run('apply', PADRON, '--expect', '0', ...where)).exitCode, 0);
  const moved = edited('"region": "cantabrico"', '"region": "bucuresti"');
  const refused = await run('apply', moved, '--expect', '2', ...where);
  t.is(refused.exitCode, 3);
  t.regex(refused.errors, /region-changed: padron is in force in cantabrico/);
  const taken = edited('"owner": "reenvio-norte"', '"owner": "depesa"');
  writeFileSync(taken, readFileSync(taken, 'utf8').replace('"cantabrico"', '"bucuresti"'));
  const foreign = await run('apply', taken, '--expect', '0', ...where);
  t.is(foreign.exitCode, 3);
  t.regex(foreign.errors, /belongs to reenvio-norte, not to depesa/);
  t.is(Number(store.model.revision), 2);
  t.is((await run('get', 'padron', ...where)).exitCode, 0);
  t.is((await run('apply', moved, '--expect', '0', ...where)).exitCode, 0);
  const held = await jsonOf<{ services: object[] }>('get', ...where);
  t.like(held.services, [
    { region: 'bucuresti', service: 'padron', revision: 3 },
    { region: 'cantabrico', service: 'padron', revision: 2 },
  ]);
  const either = await run('get', 'padron', ...where);
  t.is(either.exitCode, 7);
  t.regex(either.errors, /region-ambiguous: padron is in 2 regions: bucuresti, cantabrico/);
  const chosen = ['padron', '--region', 'cantabrico', ...where];
  t.is((await jsonOf<{ revision: number }>('get', ...chosen)).revision, 2);
  t.is((await jsonOf<{ revision: number }>('audit', ...chosen)).revision, 2);
  t.is((await run('get', 'padron', '--region', 'duero', ...where)).exitCode, 7);
  await server.close();
});

test('failures are reported without a stack and with their exit code', async (t) => {
  const { store, server, url } = await openStore();
  const bad = edited('"deadlineMs": 500', '"deadlineSeconds": 1');
  const [refused, missing, settings, unknown] = await Promise.all([
    run('check', bad),
    run('check', 'nowhere.jsonc'),
    run('entry', '--settings', PADRON),
    run('get', 'nobody', '--store', url),
  ]);
  t.is(refused.exitCode, 3);
  t.regex(refused.errors, /padron\.jsonc:\d+:\d+: kinds\.0\.deadlineSeconds: .*deadlineMs\?/);
  t.is(missing.exitCode, 3);
  t.is(settings.exitCode, 3);
  t.is(unknown.exitCode, 7);
  store.faults.down = true;
  const down = await run('apply', PADRON, '--expect', '0', '--store', url);
  t.is(down.exitCode, 6);
  await server.close();
  for (const { errors } of [refused, missing, settings, unknown, down]) {
    t.notRegex(errors, /^\s+at /m);
  }
});

test('a lost answer of the store is resolved by a read, and --wait reports where the change is in force', async (t) => {
  const { store, server, url } = await openStore();
  const entry = await startEntry({
    hostId: 'entry-1',
    region: 'cantabrico',
    availabilityZone: 'oviedo-a',
    listen: { host: '127.0.0.1', port: 0 },
    store: { urls: [url], readsPerSecond: 20, writesPerSecond: 10, timeoutMs: 2000 },
    logLevel: 'error',
    drainTimeoutMs: 1000,
    bodyBytes: 100_000,
  });
  const where = ['--store', url, '--entry', `http://127.0.0.1:${entry.port}`];
  store.faults.answersToLose = 1;
  const applied = await run('apply', PADRON, '--expect', '0', '--wait', ...where);
  t.is(applied.exitCode, 0, applied.errors);
  t.regex(
    applied.out,
    /accepted at revision 2[^]*heard of padron-1, padron-2, padron-3\nin force at entry-1\n/,
  );
  const status = await jsonOf<{
    entries: { status: { documents: object[] } }[];
  }>('status', ...where);
  t.deepEqual(status.entries[0]?.status.documents, [{ service: 'padron', revision: 2 }]);
  const elsewhere = edited('"region": "cantabrico"', '"region": "bucuresti"');
  const unseen = await run('apply', elsewhere, '--expect', '0', '--wait', ...where);
  t.is(unseen.exitCode, 9);
  t.regex(unseen.errors, /accepted at revision 3[^]*none of the entries given is of bucuresti/);
  const slow = edited('"deadlineMs": 500', '"deadlineMs": 700');
  const partly = ['--wait', '--wait-ms', '0', '--entry', 'http://127.0.0.1:1'];
  const waited = await run('apply', slow, '--expect', '2', ...partly, ...where);
  t.is(waited.exitCode, 9);
  t.regex(waited.errors, /accepted at revision 4/);
  await entry.stop();
  await server.close();
});
