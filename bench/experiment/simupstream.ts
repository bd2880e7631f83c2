import type { Group } from '../../src/core/document/index.js';
import type { Flight } from './flight.js';
import type { QueuePolicy } from './queuepolicy.js';
import type { SimEngine } from './simengine.js';

/** A model in the memory of a simulated upstream. */
export interface SimResident {
  readonly model: string;
  readonly sizeBytes: number;
  phase: 'loading' | 'ready' | 'unloading';
  lastUsedAtMs: number;
  running: number;
  expectedAtMs: number;
}

/** A simulated upstream with its queue. */
export interface SimUpstream {
  readonly index: number;
  readonly id: string;
  readonly group: Group;
  readonly queue: QueuePolicy;
  /** Undefined for a plain service. */
  readonly engine: SimEngine | undefined;
  readonly flights: Map<string, Flight>;
  readonly residents: Map<string, SimResident>;
  readonly memoryBytes: number;
  freeBytes: number;
  alive: boolean;
  /** Increases when the upstream is lost, so that pending events of the former incarnation are dropped. */
  incarnation: number;
  wakeAtMs: number;
  engineDueAtMs: number;
  running: number;
  queued: number;
  paceAtMs: number;
}
