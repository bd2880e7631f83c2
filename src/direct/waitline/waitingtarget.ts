import type { Ms } from '../../base/index.js';
import type { QueueRequest } from '../../core/admissionqueue/index.js';
import type { Target } from '../route/index.js';

/** What the queue knows of a target that requests wait for. */
export interface WaitingTarget {
  readonly target: Target;
  /** When an attempt last found no free slot. */
  blockedAtMs: Ms;
  /** Requests that have found a free slot and are not sent yet, with the time of the attempt. */
  readonly claims: Map<string, { readonly request: QueueRequest; readonly atMs: Ms }>;
}
