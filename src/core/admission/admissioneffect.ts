import type { Ms } from '../../base/index.js';

/** A decision of admission control. */
export type AdmissionEffect =
  | { readonly type: 'start'; readonly requestId: string }
  /** Refuses the request permanently: it has not run and will not run here. */
  | {
      readonly type: 'refuse';
      readonly requestId: string;
      readonly failure: 'deadline-unmeetable' | 'queue-full' | 'model-absent';
      /** Time after which a similar request would probably be admitted. */
      readonly retryAfterMs: Ms;
    }
  /** The running request has to release its slot and be offered again. */
  | { readonly type: 'preempt'; readonly requestId: string }
  /** Asks for a `ticked` event at this time; replaces the previous wake-up. */
  | { readonly type: 'wake'; readonly atMs: Ms };
