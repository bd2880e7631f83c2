import { createHash } from 'node:crypto';

/** Parts of the document that a test chooses. */
interface DocumentOptions {
  readonly sidecarAddresses: readonly string[];
  /** API keys of the only customer. */
  readonly keys: readonly string[];
  /** Ids of the service's models; `notice-1` by default. */
  readonly models?: readonly string[];
}

const MEGABYTE = 1_000_000;
const MINUTE_MS = 60_000;

/** Returns a small, complete document of the service `redactor`. */
export function serviceDocument({
  sidecarAddresses,
  keys,
  models = ['notice-1'],
}: DocumentOptions): object {
  const keyHashes = keys.map((key) => createHash('sha256').update(key).digest('hex'));
  const upstreams = sidecarAddresses.map((sidecarAddress, index) => ({
    id: `redactor-${index + 1}`,
    sidecarAddress,
  }));
  return {
    schemaVersion: 1,
    service: 'redactor',
    owner: 'forwarding',
    region: 'cantabrico',
    customers: [{ id: 'carriers', keyHashes, share: 1 }],
    kinds: [{ name: 'draft', priority: 'normal', deadlineMs: 5000, weight: 1, repeatable: true }],
    models: models.map((id) => ({
      id,
      version: '1',
      sizeBytes: MEGABYTE,
      defaultKind: 'draft',
    })),
    adapters: [],
    groups: [
      {
        name: 'engines',
        availabilityZone: 'oviedo-a',
        type: 'engine',
        checksFencing: true,
        accelerators: 1,
        memoryBytes: 100 * MEGABYTE,
        kvCacheReserveBytes: 10 * MEGABYTE,
        slots: 8,
        role: 'mixed',
        upstreams,
      },
    ],
    weightStore: { loadsPerSecond: 100, parallelLoads: 4 },
    placement: { movePenalty: 0, spareUpstreams: 0 },
    limits: {
      bodyBytes: 65_536,
      longJobsPerUpstream: 2,
      queuePerUpstream: 100,
      ticketValidMs: MINUTE_MS,
    },
  };
}
