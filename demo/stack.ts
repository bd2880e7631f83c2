import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import { FailureError } from '../src/base/index.js';
import { Daemon } from './daemon.js';
import type { Deployment } from './deployment.js';
import { createDocuments } from './createdocuments.js';
import { freePorts } from './freeports.js';
import { loopbackHost } from './loopbackhost.js';
import { runOperatorCommand } from './runoperatorcommand.js';
import { StandIns } from './standins.js';

const ENTRIES = 2;
const POLL_MS = 50;
const START_WITHIN_MS = 30_000;
const HOST_LIST_POLL_MS = 500;
const DRAIN_MS = 4000;

/** A sidecar of the stack and its upstream. */
interface SidecarSpec {
  readonly upstream: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly upstreamUrl: string;
  readonly upstreamType: 'engine' | 'plain';
  readonly port: number;
}

/** A whole deployment on loopback: stand-ins in this process, entries and sidecars in their own processes. */
export class Stack {
  readonly keys = { largest: 'demo-key-largest', other: 'demo-key-other' };

  readonly standIns: StandIns;

  /** URLs of the entries. */
  entries: readonly string[] = [];

  store = '';

  private readonly directory = mkdtempSync(join(tmpdir(), 'tarragonstile-'));

  private entryDaemons: readonly Daemon[] = [];

  private readonly sidecars = new Map<string, Daemon>();

  private sidecarSpecs: readonly SidecarSpec[] = [];

  private readonly leaving = new Set<string>();

  private meshPorts: readonly number[] = [];

  private hostsUrl = '';

  private readonly host = loopbackHost();

  constructor(readonly deployment: Deployment) {
    this.standIns = new StandIns(deployment);
  }

  /** Ids of the upstreams, engines first. */
  get upstreams(): readonly string[] {
    return this.sidecarSpecs.map(({ upstream }) => upstream);
  }

  /** Process ids by name of the entry or upstream. */
  get pids(): Readonly<Record<string, number>> {
    const named = this.entryDaemons.map(({ pid }, index) => [`entry-${index + 1}`, pid] as const);
    const sidecars = [...this.sidecars].map(([name, { pid }]) => [name, pid] as const);
    return Object.fromEntries([...named, ...sidecars]);
  }

  /** Starts all processes; resolves when the documents are in force and the entries are ready. */
  async start(): Promise<void> {
    const urls = await this.standIns.listen();
    this.store = urls.store;
    this.hostsUrl = urls.hosts;
    const ports = await freePorts(this.host, urls.upstreams.length + ENTRIES);
    this.meshPorts = ports.slice(-ENTRIES);
    this.sidecarSpecs = urls.upstreams.map((url, index) =>
      this.createSpec(url, index, ports[index] ?? 0),
    );
    this.updateHostList();
    const applied = this.applyDocuments();
    const sidecars = this.sidecarSpecs.map((spec) => this.startSidecar(spec));
    const started = this.meshPorts.map((port, index) => this.startEntry(port, index));
    this.entryDaemons = await Promise.all(started);
    await Promise.all([applied, ...sidecars]);
    this.entries = this.entryDaemons.map(({ port }) => `http://127.0.0.1:${port}`);
    await Promise.all(this.entries.map((url) => this.waitUntilReady(url)));
  }

  sidecar(upstream: string): Daemon {
    return this.sidecars.get(upstream)!;
  }

  /** Kills a sidecar with SIGKILL, as in a crash, and restarts it after `downMs`, as the platform would. */
  async crashSidecar(upstream: string, downMs: number): Promise<void> {
    await this.sidecar(upstream).end('SIGKILL');
    await wait(downMs);
    await this.startSidecar(this.sidecarSpecs.find((spec) => spec.upstream === upstream)!);
  }

  /** Drains an upstream: lists its host as leaving, stops its sidecar, and resolves with the sidecar's exit code. */
  drain(upstream: string): Promise<number | null> {
    this.leaving.add(upstream);
    this.updateHostList();
    const sidecar = this.sidecar(upstream);
    this.sidecars.delete(upstream);
    return sidecar.end('SIGTERM');
  }

  /** Stops all daemons with SIGTERM and resolves with their exit codes. */
  async stop(): Promise<readonly (number | null)[]> {
    const entryCodes = await Promise.all(this.entryDaemons.map((entry) => entry.end('SIGTERM')));
    const stopping = [...this.sidecars.values()].map((sidecar) => sidecar.end('SIGTERM'));
    const codes = [...entryCodes, ...(await Promise.all(stopping))];
    this.standIns.close();
    return codes;
  }

  private createSpec(upstreamUrl: string, index: number, port: number): SidecarSpec {
    const { engineService, plainService, availabilityZones } = this.deployment;
    const engineCount = this.standIns.engines.length;
    const isPlain = index >= engineCount;
    return {
      upstream: isPlain
        ? `${plainService}-${index - engineCount + 1}`
        : `${engineService}-${index + 1}`,
      service: isPlain ? plainService : engineService,
      availabilityZone: availabilityZones[index] ?? availabilityZones[0],
      upstreamUrl,
      upstreamType: isPlain ? 'plain' : 'engine',
      port,
    };
  }

  private updateHostList(): void {
    const { region } = this.deployment;
    const entries = this.meshPorts.map((port, index) => ({
      id: `entry-${index + 1}`,
      role: 'entry' as const,
      address: `${this.host}:${port}`,
      availabilityZone: this.deployment.availabilityZones[index] ?? '',
      region,
      state: 'live' as const,
    }));
    const sidecars = this.sidecarSpecs.map(({ upstream, availabilityZone, port }) => ({
      id: upstream,
      role: 'sidecar' as const,
      address: `${this.host}:${port}`,
      availabilityZone,
      region,
      state: this.leaving.has(upstream) ? ('leaving' as const) : ('live' as const),
    }));
    this.standIns.hosts.set([...entries, ...sidecars]);
  }

  private async applyDocuments(): Promise<void> {
    const upstreams = this.sidecarSpecs.map(({ upstream, port }) => ({
      id: upstream,
      sidecarAddress: `${this.host}:${port}`,
    }));
    const documents = createDocuments(this.deployment, upstreams, this.keys);
    const { name } = this.deployment;
    const applied = documents.map((document, index) => {
      const file = join(this.directory, `document-${index}.jsonc`);
      writeFileSync(file, JSON.stringify(document, null, 2));
      return runOperatorCommand(
        'apply',
        file,
        '--expect',
        '0',
        '--team',
        name,
        '--store',
        this.store,
      );
    });
    await Promise.all(applied);
  }

  private place(hostId: string, availabilityZone: string): object {
    return {
      hostId,
      availabilityZone,
      region: this.deployment.region,
      logLevel: process.env.DEMO_LOG ?? 'error',
      drainTimeoutMs: DRAIN_MS,
      store: { urls: [this.store] },
      hostList: { url: this.hostsUrl, pollMs: HOST_LIST_POLL_MS },
    };
  }

  private async startSidecar({ port, ...spec }: SidecarSpec): Promise<void> {
    const { availabilityZone, upstream } = spec;
    const settings = { ...this.place(upstream, availabilityZone), ...spec };
    const listen = `${this.host}:${port}`;
    const daemon = await Daemon.start('sidecar', this.directory, upstream, { ...settings, listen });
    this.sidecars.set(upstream, daemon);
  }

  private startEntry(meshPort: number, index: number): Promise<Daemon> {
    const name = `entry-${index + 1}`;
    const zone = this.deployment.availabilityZones[index] ?? '';
    return Daemon.start('entry', this.directory, name, {
      ...this.place(name, zone),
      listen: { host: '127.0.0.1', port: 0 },
      meshListen: `${this.host}:${meshPort}`,
    });
  }

  /** Waits until an entry is ready and has answered a request for each service. */
  private async waitUntilReady(url: string): Promise<void> {
    const { engineCount, plainCount, plainService, lookupPath, models } = this.deployment;
    await this.waitForOk(`${url}/readyz`);
    if (plainCount > 0) await this.waitForOk(`${url}/services/${plainService}${lookupPath}/1`);
    const body = JSON.stringify({ model: models[0], prompt: 'Hello', max_tokens: 1 });
    if (engineCount > 0) await this.waitForOk(`${url}/v1/completions`, body);
  }

  private async waitForOk(url: string, body?: string): Promise<void> {
    const headers = { authorization: `Bearer ${this.keys.other}` };
    const untilMs = performance.now() + START_WITHIN_MS;
    while (performance.now() < untilMs) {
      const answer = await request(url, { method: body ? 'POST' : 'GET', headers, body });
      await answer.body.dump();
      if (answer.statusCode === 200) return;
      await wait(POLL_MS);
    }
    throw new FailureError({
      type: 'start-failed',
      detail: `${url} did not answer with status 200 within 30 s.`,
    });
  }
}
