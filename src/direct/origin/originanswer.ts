import type { Ms, Revision } from '../../base/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';

/** Another entry's answer to the question for a stream's origin. */
export type OriginAnswer =
  | {
      readonly type: 'known';
      readonly origin: StreamOrigin;
      readonly sequence: number;
      readonly ageMs: Ms;
    }
  /** It keeps no copy; it has kept all that it was sent for `keptMs`. */
  | {
      readonly type: 'unknown';
      readonly keptMs: Ms;
      /** Revision of the record of versions that it knows; absent in answers of earlier releases. */
      readonly versionsRevision?: Revision;
    };
