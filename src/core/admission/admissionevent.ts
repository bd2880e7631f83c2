import type { Ms } from '../../base/index.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import type { Offer } from './offer.js';

/** What admission is told. */
export type AdmissionEvent =
  | { readonly type: 'configured'; readonly policy: AdmissionPolicy }
  | { readonly type: 'offered'; readonly offer: Offer }
  /** The first token of a running request has come. */
  | { readonly type: 'answering'; readonly requestId: string }
  /** Time between tokens that 95 in 100 kept since the last such event. */
  | { readonly type: 'paced'; readonly gapMs: Ms; readonly tokenCount: number }
  | {
      readonly type: 'released';
      readonly requestId: string;
      readonly outcome: 'answered' | 'broken' | 'cancelled' | 'preempted';
      /** Tokens that came while the request held its place. */
      readonly tokenCount: number;
    }
  /** The caller of a waiting request has gone. */
  | { readonly type: 'abandoned'; readonly requestId: string }
  /** A model's place in memory has changed. Models that were never named count as ready. */
  | {
      readonly type: 'model';
      readonly model: string;
      readonly phase: 'ready' | 'loading' | 'absent';
      /** For `loading`: expected time until it is ready. */
      readonly readyInMs: Ms;
    }
  /** Time has passed: sent at the time of the last `wake` effect. */
  | { readonly type: 'ticked' };
