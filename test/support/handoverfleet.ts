import { createHash } from 'node:crypto';
import { text } from 'node:stream/consumers';
import { setTimeout as wait } from 'node:timers/promises';
import { Metadata } from '@grpc/grpc-js';
import { request, type Dispatcher } from 'undici';
import { startEntry, startSidecar } from '../../src/index.js';
import { peerCredentials } from '../../src/shell/tls/index.js';
import { WorkClient, type UpstreamRecord } from '../../src/wire/index.js';
import { FakeEngine, FakeHostList, MemoryStore, StoreServer } from '../../standin/index.js';
import { freePort } from './freeport.js';
import { writeDocument } from './meshnode.js';
import { readFirstChunk } from './reading.js';
import { unrefClock } from './unrefclock.js';

const KEY = 'clerk-key';
const POLL_MS = 20;
const PROMPT = 'To the register of the port. '.repeat(100);
const CHARS_PER_TOKEN = 4;
const place = { region: 'bucuresti', availabilityZone: 'sala-nord', logLevel: 'error' };
const silent = { info() {}, warn() {}, error() {} };

function documentOf(addresses: readonly string[]): object {
  const keyHashes = [createHash('sha256').update(KEY).digest('hex')];
  const draft = { name: 'draft', priority: 'normal', deadlineMs: 5000, weight: 1 };
  return {
    schemaVersion: 1,
    service: 'redactor',
    owner: 'register',
    region: place.region,
    customers: [{ id: 'clerks', keyHashes, share: 1 }],
    kinds: [{ ...draft, repeatable: true }],
    models: [{ id: 'letter-1', version: '1', sizeBytes: 1000, defaultKind: 'draft' }],
    adapters: [],
    groups: addresses.map((sidecarAddress, index) => ({
      name: `g${index}`,
      type: 'engine',
      availabilityZone: place.availabilityZone,
      checksFencing: true,
      accelerators: 1,
      memoryBytes: 100_000,
      kvCacheReserveBytes: 1000,
      slots: 8,
      role: 'mixed',
      upstreams: [{ id: `redactor-${index}`, sidecarAddress }],
    })),
    weightStore: { loadsPerSecond: 1, parallelLoads: 1 },
    placement: { movePenalty: 1, spareUpstreams: 0 },
    limits: { bodyBytes: 1e6, longJobsPerUpstream: 1, queuePerUpstream: 9, ticketValidMs: 60_000 },
  };
}

function describe(client: WorkClient): Promise<UpstreamRecord | undefined> {
  const deadline = Date.now() + 500;
  return new Promise((resolve) => {
    client.describe({}, new Metadata(), { deadline }, (_error, record) => resolve(record));
  });
}

/** Runs one entry and three sidecars in this process, each sidecar with its own stand-in engine. */
export class HandOverFleet {
  readonly promptTokens = Math.ceil(PROMPT.length / CHARS_PER_TOKEN);

  private readonly engines = [0, 1, 2].map(() => new FakeEngine({ tokenMs: 10, tokens: 100 }));

  private readonly store = new MemoryStore({ clock: unrefClock });

  private readonly storeServer = new StoreServer(this.store);

  private readonly hosts = new FakeHostList();

  private readonly sidecars: Awaited<ReturnType<typeof startSidecar>>[] = [];

  private entry!: Awaited<ReturnType<typeof startEntry>>;

  constructor(private readonly options: { readonly cacheHandOverBytes?: number }) {}

  async start(): Promise<void> {
    const urls = [await this.storeServer.listen()];
    const store = { urls, readsPerSecond: 500, writesPerSecond: 500, timeoutMs: 500 };
    const hostList = { url: await this.hosts.listen(), pollMs: 100, timeoutMs: 500 };
    for (const [index, engine] of this.engines.entries()) {
      const upstreamUrl = await engine.listen();
      const own = { upstream: `redactor-${index}`, service: 'redactor', upstreamUrl, slots: 8 };
      const settings = { ...place, ...own, ...this.options, hostId: `s${index}`, store, hostList };
      const rest = { upstreamType: 'engine', drainTimeoutMs: 100, statsd: null } as const;
      this.sidecars.push(await startSidecar({ ...settings, ...rest, listen: '127.0.0.1:0' }));
    }
    const addresses = this.sidecars.map(({ port }) => `127.0.0.1:${port}`);
    const meshListen = `127.0.0.1:${await freePort()}`;
    const { region, availabilityZone } = place;
    const listed = { region, availabilityZone, state: 'live' };
    this.hosts.set([
      { ...listed, id: 'e0', role: 'entry', address: meshListen },
      ...addresses.map((address, index) => ({
        ...listed,
        id: `s${index}`,
        role: 'sidecar',
        address,
      })),
    ] as never);
    await writeDocument(this.store, 'redactor', documentOf(addresses));
    const listen = { host: '127.0.0.1', port: 0 };
    const own = { ...place, hostId: 'e0', listen, meshListen, hostList, store };
    this.entry = await startEntry({ ...own, drainTimeoutMs: 2000, bodyBytes: 100_000 });
    await Promise.all(addresses.map((address) => this.untilReady(address)));
  }

  /** Stops the sidecar that serves a stream, then repeats the same request on the remaining ones. */
  async breakStream(): Promise<{
    readonly broken: string;
    readonly unbroken: string;
    /** Tokens prefilled by the engines that did not start the stream. */
    readonly prefilledAtPeer: number;
  }> {
    const reading = await readFirstChunk(await this.ask());
    const from = this.engines.findIndex(({ ran }) => ran > 0);
    const [sidecar] = this.sidecars.splice(from, 1);
    const [answer] = await Promise.all([reading.readAll(), sidecar!.stop()]);
    const peers = this.engines.filter((_engine, index) => index !== from);
    const prefilledAtPeer = peers.reduce((sum, { counts }) => sum + counts.prefillTokens, 0);
    const again = await text((await this.ask()).body);
    return { broken: this.withoutId(answer), unbroken: this.withoutId(again), prefilledAtPeer };
  }

  async stop(): Promise<void> {
    await this.entry.stop();
    await Promise.all(this.sidecars.map((sidecar) => sidecar.stop()));
    for (const engine of this.engines) engine.close();
    this.hosts.close();
    await this.storeServer.close();
  }

  private withoutId(answer: string): string {
    return answer.replace(/"id":"[^"]*"/g, '"id":"REQUEST"');
  }

  private async ask(): Promise<Dispatcher.ResponseData> {
    const messages = [{ role: 'user', content: PROMPT }];
    for (;;) {
      const answer = await request(`http://127.0.0.1:${this.entry.port}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${KEY}` },
        body: JSON.stringify({ model: 'letter-1', stream: true, messages }),
      });
      if (answer.statusCode === 200) return answer;
      await answer.body.dump();
      await wait(POLL_MS);
    }
  }

  private async untilReady(address: string): Promise<void> {
    const client = new WorkClient(address, peerCredentials(null, silent).channel);
    for (;;) {
      const record = await describe(client);
      const isReady = record?.residents.some(({ phase }) => phase === 'ready');
      if (record?.phase === 'ready' && isReady) break;
      await wait(POLL_MS);
    }
    client.close();
  }
}
