import { createHash } from 'node:crypto';
import type { Deployment } from './deployment.js';
import { sizes } from './sizes.js';

interface Upstream {
  readonly id: string;
  readonly sidecarAddress: string;
}

const LIMITS = {
  bodyBytes: 65_536,
  longJobsPerUpstream: 2,
  queuePerUpstream: 200,
  ticketValidMs: 60_000,
};

function commonFields(
  deployment: Deployment,
  service: string,
  keys: Readonly<Record<string, string>>,
) {
  const customers = Object.entries(keys).map(([id, key]) => ({
    id,
    keyHashes: [createHash('sha256').update(key).digest('hex')],
    share: id === 'largest' ? 10 : 1,
  }));
  return {
    schemaVersion: 1,
    service,
    owner: deployment.name,
    region: deployment.region,
    customers,
    weightStore: { loadsPerSecond: 3, parallelLoads: deployment.parallelLoads },
    placement: { movePenalty: deployment.movePenalty, spareUpstreams: 0 },
    limits: LIMITS,
  };
}

function engineDocument(
  deployment: Deployment,
  upstreams: readonly Upstream[],
  keys: Readonly<Record<string, string>>,
) {
  return {
    ...commonFields(deployment, deployment.engineService, keys),
    kinds: [
      { name: 'draft', priority: 'urgent', deadlineMs: 3000, weight: 2, repeatable: true },
      { name: 'archive', priority: 'background', deadlineMs: 8000, weight: 1, repeatable: true },
    ],
    models: deployment.models.map((id) => ({
      id,
      version: '1',
      sizeBytes: sizes.modelBytes,
      defaultKind: 'draft',
      kvCacheBytesPerToken: sizes.kvCacheBytesPerToken,
    })),
    adapters: deployment.models.map((model) => ({
      id: `${model}-local`,
      model,
      sizeBytes: sizes.adapterBytes,
    })),
    groups: upstreams.map((upstream, index) => ({
      name: `${deployment.engineService}-${deployment.availabilityZones[index]}`,
      availabilityZone: deployment.availabilityZones[index],
      type: 'engine',
      // The customer's brief has both: upstreams that check fencing tokens and upstreams that do not.
      checksFencing: index === 0,
      accelerators: 1,
      memoryBytes: sizes.memoryBytes,
      kvCacheReserveBytes: sizes.kvCacheReserveBytes,
      slots: 16,
      role: 'mixed',
      upstreams: [upstream],
    })),
  };
}

function plainDocument(
  deployment: Deployment,
  upstreams: readonly Upstream[],
  keys: Readonly<Record<string, string>>,
) {
  return {
    ...commonFields(deployment, deployment.plainService, keys),
    kinds: [
      { name: 'lookup', priority: 'urgent', deadlineMs: 1000, weight: 1, repeatable: true },
      { name: 'confirm', priority: 'urgent', deadlineMs: 4000, weight: 5, repeatable: false },
    ],
    models: [],
    adapters: [],
    groups: upstreams.map((upstream) => ({
      name: upstream.id,
      availabilityZone: deployment.availabilityZones[2],
      type: 'plain',
      checksFencing: false,
      accelerators: 0,
      memoryBytes: 0,
      kvCacheReserveBytes: 0,
      slots: 32,
      role: 'mixed',
      upstreams: [upstream],
      routes: [
        { method: 'GET', pathPrefix: deployment.lookupPath, kind: 'lookup' },
        { method: 'POST', pathPrefix: deployment.confirmPath, kind: 'confirm' },
      ],
    })),
  };
}

/** Creates a document for each service of a deployment that has upstreams; engines come first in `upstreams`. */
export function createDocuments(
  deployment: Deployment,
  upstreams: readonly Upstream[],
  keys: Readonly<Record<string, string>>,
): readonly object[] {
  const engines = upstreams.slice(0, deployment.engineCount);
  const plain = upstreams.slice(deployment.engineCount);
  return [
    ...(engines.length > 0 ? [engineDocument(deployment, engines, keys)] : []),
    ...(plain.length > 0 ? [plainDocument(deployment, plain, keys)] : []),
  ];
}
