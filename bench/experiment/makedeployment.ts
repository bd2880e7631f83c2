import type { KindName, ServiceId } from '../../src/base/index.js';
import type {
  Customer,
  Group,
  Kind,
  Model,
  ServiceDocument,
} from '../../src/core/document/index.js';
import type { Deployment, Traffic } from './deployment.js';

const GIGABYTE = 1e9;
const CUSTOMER_COUNT = 9;
const LARGEST_SHARE = 8;
const ENTRY_COUNT = 4;
const LARGEST_FRACTION = 0.6;

/** A request kind and its traffic. */
interface KindOptions extends Omit<Kind, 'name'>, Traffic {}

/** Parameters of a deployment. */
export interface DeploymentOptions {
  readonly name: string;
  readonly region: string;
  readonly zones: readonly string[];
  readonly engineGroup: string;
  readonly plainGroup: string;
  readonly engineCount: number;
  readonly plainCount: number;
  readonly modelCount: number;
  readonly modelGigabytes: readonly number[];
  readonly modelKinds: readonly string[];
  readonly kinds: readonly KindOptions[];
  readonly loadsPerSecond: number;
  readonly parallelLoads: number;
  readonly movePenalty: number;
  /** If true, engines in the first, third, ... zone check fencing tokens; if false, none do. */
  readonly checksFencing: boolean;
}

function groupsOf(options: DeploymentOptions): Group[] {
  const { zones, engineGroup, plainGroup, engineCount, plainCount } = options;
  return zones.flatMap((zone, at): Group[] => {
    const ids = (name: string, count: number) =>
      Array.from({ length: count }, (_, index) => index)
        .filter((index) => index % zones.length === at)
        .map((index) => ({ id: `${name}-${index + 1}`, sidecarAddress: '127.0.0.1:1' }) as never);
    const engines: Group = {
      name: `${engineGroup}-${zone}`,
      availabilityZone: zone,
      type: 'engine',
      checksFencing: options.checksFencing && at % 2 === 0,
      accelerators: 2,
      memoryBytes: 96 * GIGABYTE,
      kvCacheReserveBytes: 28 * GIGABYTE,
      slots: 16,
      role: 'mixed',
      upstreams: ids(engineGroup, engineCount),
    };
    const plain: Group = {
      ...engines,
      name: `${plainGroup}-${zone}`,
      type: 'plain',
      accelerators: 0,
      memoryBytes: 0,
      kvCacheReserveBytes: 0,
      slots: 2,
      upstreams: ids(plainGroup, plainCount),
    };
    return [engines, plain];
  });
}

function modelsOf({ modelCount, modelGigabytes, modelKinds }: DeploymentOptions): Model[] {
  return Array.from({ length: modelCount }, (_, index) => ({
    id: `model-${index + 1}` as Model['id'],
    version: '1',
    sizeBytes: modelGigabytes[index % modelGigabytes.length]! * GIGABYTE,
    defaultKind: modelKinds[index % modelKinds.length] as KindName,
  }));
}

function documentOf(options: DeploymentOptions): ServiceDocument {
  const customers = Array.from({ length: CUSTOMER_COUNT }, (_, index) => ({
    id: `customer-${index}` as Customer['id'],
    keyHashes: [],
    share: index === 0 ? LARGEST_SHARE : 1,
  }));
  const kinds = options.kinds.map(
    ({ kind, priority, deadlineMs, weight, repeatable, longJob }) => ({
      name: kind as KindName,
      priority,
      deadlineMs,
      weight,
      repeatable,
      longJob,
    }),
  );
  return {
    schemaVersion: 1,
    service: options.name as ServiceId,
    owner: options.name,
    region: options.region,
    customers,
    kinds,
    models: modelsOf(options),
    adapters: [],
    groups: groupsOf(options),
    weightStore: { loadsPerSecond: options.loadsPerSecond, parallelLoads: options.parallelLoads },
    placement: { movePenalty: options.movePenalty, spareUpstreams: 1 },
    limits: {
      bodyBytes: 1_000_000,
      longJobsPerUpstream: 4,
      queuePerUpstream: 200,
      ticketValidMs: 600_000,
    },
  };
}

/** Builds the document and the traffic of a deployment. */
export function makeDeployment(options: DeploymentOptions): Deployment {
  const { name, kinds: traffic } = options;
  const document = documentOf(options);
  return { name, document, traffic, largestFraction: LARGEST_FRACTION, entries: ENTRY_COUNT };
}
