import type {
  AdmissionEffect,
  AdmissionEvent,
  AdmissionPolicy,
} from '../../src/core/admission/index.js';

/** What an upstream tells of its load with each answer. */
export interface SeenLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly estimatedWaitMs: number;
  /** When it was told. */
  readonly atMs: number;
}

/** Admission and queue of one upstream. */
export interface QueuePolicy {
  step(event: AdmissionEvent, nowMs: number): readonly AdmissionEffect[];
  load(nowMs: number): SeenLoad;
}

/** Builds the queue of one upstream. */
export type MakeQueue = (policy: AdmissionPolicy) => QueuePolicy;
