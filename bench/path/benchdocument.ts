import { createHash } from 'node:crypto';

/** API key of the only customer. */
const KEY = 'bench-key';

function documentFor(addresses: readonly string[], slots: number): object {
  return {
    schemaVersion: 1,
    service: 'redactor',
    owner: 'bench',
    region: 'cantabrico',
    customers: [
      { id: 'bench', share: 1, keyHashes: [createHash('sha256').update(KEY).digest('hex')] },
    ],
    kinds: [{ name: 'draft', priority: 'normal', deadlineMs: 30_000, weight: 1, repeatable: true }],
    models: [{ id: 'notice-1', version: '1', sizeBytes: 1, defaultKind: 'draft' }],
    adapters: [],
    groups: [
      {
        name: 'redactor',
        type: 'engine',
        availabilityZone: 'oviedo-a',
        checksFencing: true,
        accelerators: 1,
        memoryBytes: 80_000_000_000,
        kvCacheReserveBytes: 0,
        slots,
        role: 'mixed',
        upstreams: addresses.map((sidecarAddress, index) => ({ id: `u-${index}`, sidecarAddress })),
      },
    ],
    weightStore: { loadsPerSecond: 3, parallelLoads: 4 },
    placement: { movePenalty: 0, spareUpstreams: 0 },
    limits: {
      bodyBytes: 1_000_000,
      longJobsPerUpstream: 4,
      queuePerUpstream: 1000,
      ticketValidMs: 60_000,
    },
  };
}

/** Service document of the path benchmarks, and the API key for it. */
export const benchDocument = { key: KEY, documentFor };
