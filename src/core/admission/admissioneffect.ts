import type { Ms } from '../../base/index.js';

/** What admission decides. */
export type AdmissionEffect =
  | { readonly type: 'start'; readonly requestId: string }
  /** The request did not run and will not: its final answer, at once. */
  | {
      readonly type: 'refuse';
      readonly requestId: string;
      readonly failure: 'deadline-unmeetable' | 'queue-full' | 'model-absent';
      /** When a like request would probably be taken. */
      readonly retryAfterMs: Ms;
    }
  /** The running request has to give its place back and be offered again. */
  | { readonly type: 'preempt'; readonly requestId: string }
  /** Send `ticked` at this time; replaces the wake before it. */
  | { readonly type: 'wake'; readonly atMs: Ms };
