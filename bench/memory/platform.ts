import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Daemon } from '../../demo/daemon.js';
import { freePorts } from '../../demo/freeports.js';
import { loopbackHost } from '../../demo/loopbackhost.js';
import { runOperatorCommand } from '../../demo/runoperatorcommand.js';
import { FakeHostList, MemoryStore, StoreServer } from '../../standin/index.js';
import { serviceDocument } from './servicedocument.js';

const HOST_LIST_POLL_MS = 200;

/** Runs the store, the host list and one entry. Sidecars receive the service document from the entry. */
export class Platform {
  private readonly directory = mkdtempSync(join(tmpdir(), 'tarragonstile-'));

  private readonly store = new StoreServer(new MemoryStore());

  private readonly hosts = new FakeHostList();

  private storeUrl = '';

  private hostsUrl = '';

  private entry: Daemon | undefined;

  private sidecarCount = 0;

  /** Starts the store, the host list and the entry, and applies the service document. */
  async start(document: object): Promise<void> {
    this.storeUrl = await this.store.listen();
    this.hostsUrl = await this.hosts.listen();
    const file = join(this.directory, 'document.jsonc');
    writeFileSync(file, JSON.stringify(document, null, 2));
    const team = ['--team', serviceDocument.owner, '--store', this.storeUrl];
    await runOperatorCommand('apply', file, '--expect', '0', ...team);
    const host = loopbackHost();
    const [meshPort = 0] = await freePorts(host, 1);
    const address = `${host}:${meshPort}`;
    const place = { availabilityZone: 'oviedo-a', region: serviceDocument.region };
    this.hosts.set([{ id: 'entry-1', role: 'entry', address, ...place, state: 'live' }]);
    this.entry = await Daemon.start('entry', this.directory, 'entry-1', {
      ...this.settingsOf('entry-1'),
      listen: { host: '127.0.0.1', port: 0 },
      meshListen: address,
    });
  }

  /** Starts another sidecar for an engine. */
  startSidecar(upstream: string, upstreamUrl: string): Promise<Daemon> {
    this.sidecarCount += 1;
    const name = `${upstream}-${this.sidecarCount}`;
    return Daemon.start('sidecar', this.directory, name, {
      ...this.settingsOf(name),
      upstream,
      service: serviceDocument.name,
      listen: '127.0.0.1:0',
      upstreamUrl,
    });
  }

  async stop(): Promise<void> {
    await this.entry?.end('SIGKILL');
    await this.store.close();
    this.hosts.close();
  }

  private settingsOf(hostId: string): object {
    return {
      hostId,
      availabilityZone: 'oviedo-a',
      region: serviceDocument.region,
      logLevel: process.env.BENCH_LOG ?? 'error',
      store: { urls: [this.storeUrl] },
      hostList: { url: this.hostsUrl, pollMs: HOST_LIST_POLL_MS },
    };
  }
}
