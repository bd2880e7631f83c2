import type { Revision } from '../../base/index.js';
import type { ServiceDocument } from '../../core/document/index.js';

/** The service documents in force at this process. */
export interface Directory {
  /** Highest store revision that is in force here. It never decreases. */
  revision(): Revision;
  documents(): readonly ServiceDocument[];
  /** False until this process has caught up with its peers. */
  caughtUp(): boolean;
}
