import type { Ms } from '../../base/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';

/** What is known of the stream that a request resumes. */
export type FoundOrigin =
  | {
      readonly origin: StreamOrigin;
      /** `own`: this entry has it. `copy`: another entry does. `inferred`: it can have no other. */
      readonly source: 'own' | 'copy' | 'inferred';
      /** How long it has been known where it was found. */
      readonly ageMs?: Ms;
    }
  | { readonly origin: undefined; readonly source: 'unknown' };
