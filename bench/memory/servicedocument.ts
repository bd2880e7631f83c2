/** Sizes of the models in bytes. Together they exceed the memory of an engine (`memoryBytes`). */
const MODEL_BYTES = { a: 50, b: 40, c: 30, d: 25 };

const LIMITS = {
  bodyBytes: 65_536,
  longJobsPerUpstream: 2,
  queuePerUpstream: 200,
  ticketValidMs: 60_000,
};

interface EngineSpec {
  readonly upstream: string;
  readonly checksFencing: boolean;
}

const memoryBytes = 100;
const kvCacheReserveBytes = 10;

function groupOf({ upstream, checksFencing }: EngineSpec, sidecarAddress: string): object {
  return {
    name: `engines-${upstream}`,
    availabilityZone: 'oviedo-a',
    type: 'engine',
    checksFencing,
    accelerators: 1,
    memoryBytes,
    kvCacheReserveBytes,
    slots: 4,
    role: 'mixed',
    upstreams: [{ id: upstream, sidecarAddress }],
  };
}

/** The document of a service with small engines, each in a group of its own. */
export const serviceDocument = {
  name: 'redactor',
  owner: 'post',
  region: 'cantabrico',
  models: Object.keys(MODEL_BYTES),
  memoryBytes,
  kvCacheReserveBytes,
  /** Returns the document in the form that operators write. */
  of(engines: readonly EngineSpec[]): object {
    return {
      schemaVersion: 1,
      service: 'redactor',
      owner: 'post',
      region: 'cantabrico',
      customers: [],
      kinds: [{ name: 'draft', priority: 'normal', deadlineMs: 5000, weight: 1, repeatable: true }],
      models: Object.entries(MODEL_BYTES).map(([id, sizeBytes]) => ({
        id,
        version: '1',
        sizeBytes,
        defaultKind: 'draft',
      })),
      adapters: [],
      groups: engines.map((engine, index) => groupOf(engine, `127.0.0.1:${7100 + index}`)),
      weightStore: { loadsPerSecond: 3, parallelLoads: 4 },
      placement: { movePenalty: 0, spareUpstreams: 0 },
      limits: LIMITS,
    };
  },
};
