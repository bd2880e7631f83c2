import type { Ms } from '../../base/index.js';
import type { AdmissionPolicy } from './admissionpolicy.js';
import type { Offer } from './offer.js';

/** An event that admission control reacts to. */
export type AdmissionEvent =
  | { readonly type: 'configured'; readonly policy: AdmissionPolicy }
  | { readonly type: 'offered'; readonly offer: Offer }
  /** A running request has produced its first token. */
  | { readonly type: 'answering'; readonly requestId: string }
  /** The 95th percentile of the time between tokens since the previous event of this type. */
  | { readonly type: 'paced'; readonly gapMs: Ms; readonly tokenCount: number }
  | {
      readonly type: 'released';
      readonly requestId: string;
      readonly outcome: 'answered' | 'broken' | 'cancelled' | 'preempted';
      /** Tokens produced while the request held its slot. */
      readonly tokenCount: number;
    }
  /** The caller of a queued request has disconnected. */
  | { readonly type: 'abandoned'; readonly requestId: string }
  /** A model was loaded, is being loaded, or was unloaded. Models never reported count as ready. */
  | {
      readonly type: 'model';
      readonly model: string;
      readonly phase: 'ready' | 'loading' | 'absent';
      /** For `loading`: expected time until it is ready. */
      readonly readyInMs: Ms;
    }
  /** Sent at the time of the last `wake` effect. */
  | { readonly type: 'ticked' };
