import {
  result,
  systemClock,
  type HostId,
  type Revision,
  type ServiceId,
} from '../../src/base/index.js';
import { serviceKey } from '../../src/core/acceptance/index.js';
import type { MeshOptions } from '../../src/core/mesh/index.js';
import type { HostList, KeyValueStore } from '../../src/port/index.js';
import type { Board } from '../../src/shell/board/index.js';
import { MeshBoard, serveMesh } from '../../src/shell/mesh/index.js';
import type { MemoryStore } from '../../standin/index.js';

type Host = Extract<Awaited<ReturnType<HostList['read']>>, { ok: true }>['val'][number];

const silent = { info() {}, warn() {}, error() {} };
const uncounted = { count() {}, gauge() {}, histogram() {} };

/** A host list filled by the test. */
export class Hosts implements HostList {
  readonly all: Host[] = [];

  read(): ReturnType<HostList['read']> {
    return Promise.resolve(result.Ok([...this.all]));
  }

  add(id: string, address: string, role: 'entry' | 'sidecar' = 'entry'): void {
    const place = { availabilityZone: 'oviedo-a', region: 'cantabrico' };
    this.all.push({ ...place, id: id as HostId, role, address, state: 'live' });
  }

  /** Starts a mesh node over gRPC on the loopback interface and adds it to the host list. */
  async start(
    id: string,
    store: KeyValueStore,
    interests: readonly string[] = [],
    tuning: Partial<MeshOptions> = {},
  ): Promise<{ readonly board: MeshBoard; readonly address: string; close(): void }> {
    const role = interests.length === 0 ? 'entry' : 'sidecar';
    const board = new MeshBoard({
      hostId: id as HostId,
      region: 'cantabrico',
      role,
      interests,
      clock: systemClock,
      log: silent,
      metrics: uncounted,
      store,
      hasStore: role === 'entry',
      hostList: this,
      hostListPollMs: 50,
      seed: this.all.length + 1,
      tuning,
    });
    const served = (await serveMesh(board, '127.0.0.1:0')).unwrap();
    this.add(id, served.address, role);
    return { board, ...served };
  }
}

/** Writes a document as the operator's command does and returns its revision. */
export async function writeDocument(
  store: MemoryStore,
  service: string,
  document: object,
): Promise<Revision> {
  const { region = 'cantabrico' } = document as { readonly region?: string };
  const key = serviceKey.of({ region, service: service as ServiceId });
  const value = JSON.stringify({ document: JSON.stringify(document), audit: [] });
  const found = (await store.get(key)).unwrap();
  const expectedRevision = found?.revision ?? (0 as Revision);
  const swapped = (await store.swap({ key, expectedRevision, value })).unwrap();
  return swapped.type === 'swapped' ? swapped.revision : (0 as Revision);
}

/** Resolves when a board has this or a higher revision of a service's document in force. */
export function inForce(board: Board, service: string, revision: Revision): Promise<void> {
  if (board.revision(service) >= revision) return Promise.resolve();
  return new Promise((resolve) => {
    const stop = board.onChange(`document/${service}`, ({ sequence }) => {
      if (sequence < revision) return;
      stop();
      resolve();
    });
  });
}
