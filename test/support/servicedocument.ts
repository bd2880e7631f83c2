import { createHash } from 'node:crypto';

/** What a test may choose of its service's document. */
interface Choices {
  readonly sidecarAddresses: readonly string[];
  /** Bearer keys of the one customer. */
  readonly keys: readonly string[];
  /** Models that the service offers; `notice-1` by default. */
  readonly models?: readonly string[];
}

const MEGABYTE = 1_000_000;
const MINUTE_MS = 60_000;

/** A small, whole document of the service `redactor`. */
export function serviceDocument({
  sidecarAddresses,
  keys,
  models = ['notice-1'],
}: Choices): object {
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
