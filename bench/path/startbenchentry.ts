import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Daemon } from '../../demo/daemon.js';
import { benchDocument } from './benchdocument.js';

/** Starts an entry in its own process for the given sidecars. */
export function startBenchEntry(addresses: readonly string[], slots: number): Promise<Daemon> {
  const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-bench-'));
  const document = join(directory, 'redactor.jsonc');
  writeFileSync(document, JSON.stringify(benchDocument.documentFor(addresses, slots)));
  return Daemon.start('entry', directory, 'entry', {
    region: 'cantabrico',
    availabilityZone: 'oviedo-a',
    logLevel: 'warn',
    hostId: 'entry-1',
    listen: { host: '127.0.0.1', port: 0 },
    documents: [document],
  });
}
