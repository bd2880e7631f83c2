/**
 * Runs policies against seeded workloads in virtual time. A policy implements
 * `QueuePolicy`, `RoutePolicy` or `PlacementPolicy`; `baseline/` holds the baselines.
 */
export { agency } from './agency.js';
export type { WorkloadRequest } from './workloadrequest.js';
export { fifo } from './baseline/fifo.js';
export { leastConnections } from './baseline/leastconnections.js';
export { loadOnDemand } from './baseline/loadondemand.js';
export { roundRobin } from './baseline/roundrobin.js';
export { staticPlacement } from './baseline/staticplacement.js';
export { corePlacement } from './coreplacement.js';
export { coreQueue } from './corequeue.js';
export { coreRoute } from './coreroute.js';
export type { Deployment } from './deployment.js';
export type { Fault } from './fault.js';
export type {
  ClusterView,
  DemandView,
  MakePlacement,
  PlacementOrder,
  PlacementPolicy,
  ResidentView,
  UpstreamView,
} from './placementpolicy.js';
export { popularityOf } from './popularity.js';
export type { MakeQueue, QueuePolicy, ReportedLoad } from './queuepolicy.js';
export { Random } from './random.js';
export { reenvio } from './reenvio.js';
export type {
  Candidate,
  MakeRoute,
  RouteOutcome,
  RoutePolicy,
  RouteSettings,
} from './routepolicy.js';
export type { RunOptions } from './runoptions.js';
export { workload } from './workload.js';
export type { WorkloadOptions } from './workload.js';
export { World } from './world.js';
