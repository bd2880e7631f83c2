import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Daemon } from '../../demo/daemon.js';
import { BenchProcess } from './benchprocess.js';
import { startBenchEntry } from './startbenchentry.js';

const SLOTS = 256;

/** Options of a path. */
interface PathOptions {
  readonly tokenMs: number;
  readonly tokens: number;
  /** Starts a relay in front of the sidecar's port and returns the port of its own. */
  readonly relay?: (port: number) => Promise<number>;
}

/** A stand-in engine, a sidecar and an entry, each in its own process. */
export class BenchPath {
  private constructor(
    private readonly engine: BenchProcess<{ url: string }>,
    readonly sidecar: Daemon,
    readonly entry: Daemon,
  ) {}

  static async start({ tokenMs, tokens, relay }: PathOptions): Promise<BenchPath> {
    const engine = await BenchProcess.start<{ url: string }>('engineprocess', { tokenMs, tokens });
    const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-bench-'));
    const sidecar = await Daemon.start('sidecar', directory, 'sidecar', {
      region: 'cantabrico',
      availabilityZone: 'oviedo-a',
      logLevel: 'warn',
      hostId: 'redactor-1',
      upstream: 'u-0',
      service: 'redactor',
      listen: '127.0.0.1:0',
      upstreamUrl: engine.ready.url,
      slots: SLOTS,
    });
    const port = relay ? await relay(sidecar.port) : sidecar.port;
    const entry = await startBenchEntry([`127.0.0.1:${port}`], SLOTS);
    return new BenchPath(engine, sidecar, entry);
  }

  get entryUrl(): string {
    return `http://127.0.0.1:${this.entry.port}`;
  }

  get engineUrl(): string {
    return this.engine.ready.url;
  }

  async stop(): Promise<void> {
    await this.entry.end('SIGTERM');
    await this.sidecar.end('SIGTERM');
    await this.engine.stop();
  }
}
