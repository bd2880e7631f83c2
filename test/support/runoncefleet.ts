import { createHash } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import { startEntry, startSidecar } from '../../src/index.js';
import { FakeHostList, FakeService, MemoryStore, StoreServer } from '../../standin/index.js';
import { freePort } from './freeport.js';
import { writeDocument } from './meshnode.js';
import { unrefClock } from './unrefclock.js';

const KEY = 'clerk-key';
const POLL_MS = 20;
const place = { region: 'bucuresti', availabilityZone: 'sala-nord', logLevel: 'error' };
const plain = { type: 'plain', checksFencing: false, accelerators: 0, memoryBytes: 0 };

function documentOf(addresses: readonly string[]): object {
  const keyHashes = [createHash('sha256').update(KEY).digest('hex')];
  const confirm = { name: 'confirm', priority: 'urgent', deadlineMs: 5000, weight: 1 };
  return {
    schemaVersion: 1,
    service: 'register',
    owner: 'register',
    region: place.region,
    customers: [{ id: 'clerks', keyHashes, share: 1 }],
    kinds: [{ ...confirm, repeatable: false }],
    models: [],
    adapters: [],
    groups: addresses.map((sidecarAddress, index) => ({
      ...plain,
      name: `g${index}`,
      availabilityZone: place.availabilityZone,
      kvCacheReserveBytes: 0,
      slots: 8,
      role: 'mixed',
      upstreams: [{ id: `register-${index}`, sidecarAddress }],
      routes: [{ method: 'POST', pathPrefix: '/transfers', kind: 'confirm' }],
    })),
    weightStore: { loadsPerSecond: 1, parallelLoads: 1 },
    placement: { movePenalty: 1, spareUpstreams: 0 },
    limits: { bodyBytes: 1e6, longJobsPerUpstream: 1, queuePerUpstream: 9, ticketValidMs: 60_000 },
  };
}

/** Answer that a caller received. */
interface CallerReply {
  readonly status: number;
  readonly body: { readonly type?: string; readonly executed?: string; readonly done?: string };
}

/** An upstream in the status of an entry. */
interface UpstreamStatus {
  readonly upstream: string;
  readonly phase: string;
}

/** Two entries and two sidecars, run as daemons in this process in front of one plain service. */
export class RunOnceFleet {
  readonly service = new FakeService();

  readonly store = new MemoryStore({ clock: unrefClock });

  readonly sidecars: Awaited<ReturnType<typeof startSidecar>>[] = [];

  readonly entries: Awaited<ReturnType<typeof startEntry>>[] = [];

  /** Marks the host of one sidecar as leaving in the platform's host list; -1 marks none. */
  listLeaving: (sidecar: number) => void = () => {};

  private readonly storeServer = new StoreServer(this.store);

  private readonly hosts = new FakeHostList();

  async start(): Promise<void> {
    const upstreamUrl = await this.service.listen();
    const urls = [await this.storeServer.listen()];
    // The store runs in this process. On a loaded machine it has taken more than 500 ms to answer.
    const store = { urls, readsPerSecond: 500, writesPerSecond: 500, timeoutMs: 5000 };
    const hostList = { url: await this.hosts.listen(), pollMs: 100, timeoutMs: 500 };
    const meshes = [`127.0.0.1:${await freePort()}`, `127.0.0.1:${await freePort()}`];
    for (const index of [0, 1]) {
      const own = {
        upstream: `register-${index}`,
        service: 'register',
        upstreamUrl,
        store,
        hostList,
      };
      const settings = { ...place, ...own, hostId: `s${index}`, listen: '127.0.0.1:0', slots: 8 };
      const more = { upstreamType: 'plain', drainTimeoutMs: 2000, statsd: null } as const;
      this.sidecars.push(await startSidecar({ ...settings, ...more }));
    }
    const addresses = this.sidecars.map(({ port }) => `127.0.0.1:${port}`);
    this.listLeaving = (leaving) => this.list(meshes, addresses, leaving);
    this.listLeaving(-1);
    await writeDocument(this.store, 'register', documentOf(addresses));
    for (const [index, meshListen] of meshes.entries()) {
      const listen = { host: '127.0.0.1', port: 0 };
      const own = { ...place, hostId: `e${index}`, listen, meshListen, hostList, store };
      this.entries.push(await startEntry({ ...own, drainTimeoutMs: 2000, bodyBytes: 100_000 }));
    }
    for (const index of meshes.keys()) await this.untilReady(index);
  }

  /** Returns a ticket issued through the first entry; retries until a sidecar is ready to issue one. */
  async ticket(): Promise<string> {
    const path = `${this.urlOf(0)}/v1/tickets`;
    const headers = { authorization: `Bearer ${KEY}` };
    for (;;) {
      const body = JSON.stringify({ service: 'register' });
      const answer = await request(path, { method: 'POST', headers, body });
      const { ticket } = (await answer.body.json()) as { ticket?: string };
      if (ticket) return ticket;
      await wait(POLL_MS);
    }
  }

  /** Sends the confirmation of a transfer through one of the entries. */
  async confirm(
    entry: number,
    transferId: string,
    headers: Record<string, string>,
  ): Promise<CallerReply> {
    const answer = await request(`${this.urlOf(entry)}/services/register/transfers`, {
      method: 'POST',
      headers: { ...headers, authorization: `Bearer ${KEY}` },
      body: JSON.stringify({ transferId }),
    });
    return { status: answer.statusCode, body: (await answer.body.json()) as CallerReply['body'] };
  }

  /** Repeats a confirmation until the answer is none of these refusals. */
  async confirmUntilNot(
    types: readonly string[],
    ...ask: Parameters<RunOnceFleet['confirm']>
  ): Promise<CallerReply> {
    const transientTypes = types.map((type) => `urn:tarragonstile:${type}`);
    for (;;) {
      const reply = await this.confirm(...ask);
      if (!transientTypes.includes(reply.body.type ?? '')) return reply;
      await wait(POLL_MS);
    }
  }

  /** Stops one sidecar by a planned stop. */
  async stopSidecar(index: number): Promise<void> {
    const [sidecar] = this.sidecars.splice(index, 1);
    await sidecar?.stop();
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.stop()));
    await Promise.all(this.sidecars.map((sidecar) => sidecar.stop()));
    this.service.close();
    this.hosts.close();
    await this.storeServer.close();
  }

  /** Waits until an entry has caught up with its peers; before that it accepts no requests. */
  private async untilReady(entry: number): Promise<void> {
    for (;;) {
      const answer = await request(`${this.urlOf(entry)}/readyz`);
      await answer.body.dump();
      if (answer.statusCode === 200) return;
      await wait(POLL_MS);
    }
  }

  /** Waits until an entry lists the upstream of a sidecar as leaving. */
  async untilLeaving(entry: number, sidecar: number): Promise<void> {
    for (;;) {
      const answer = await request(`${this.urlOf(entry)}/statusz`);
      const { upstreams } = (await answer.body.json()) as { upstreams: readonly UpstreamStatus[] };
      const heard = upstreams.find(({ upstream }) => upstream === `register-${sidecar}`);
      if (heard?.phase === 'leaving') return;
      await wait(POLL_MS);
    }
  }

  private urlOf(entry: number): string {
    return `http://127.0.0.1:${this.entries[entry]!.port}`;
  }

  private list(meshes: readonly string[], sidecars: readonly string[], leaving: number): void {
    const listed = {
      availabilityZone: place.availabilityZone,
      region: place.region,
      state: 'live',
    };
    this.hosts.set([
      ...meshes.map((address, index) => ({ ...listed, id: `e${index}`, role: 'entry', address })),
      ...sidecars.map((address, index) => ({
        ...listed,
        id: `s${index}`,
        role: 'sidecar',
        address,
        state: index === leaving ? 'leaving' : 'live',
      })),
    ] as never);
  }
}
