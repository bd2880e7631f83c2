import type {
  AdmissionEffect,
  AdmissionEvent,
  AdmissionPolicy,
} from '../../src/core/admission/index.js';

/** Load that an upstream reports with each answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly estimatedWaitMs: number;
  /** Time of the report. */
  readonly atMs: number;
}

/** Admission control and queue of one upstream. */
export interface QueuePolicy {
  step(event: AdmissionEvent, nowMs: number): readonly AdmissionEffect[];
  load(nowMs: number): ReportedLoad;
}

/** Creates the queue of one upstream. */
export type MakeQueue = (policy: AdmissionPolicy) => QueuePolicy;
