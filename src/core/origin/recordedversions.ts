import type { Ms } from '../../base/index.js';

/** What an entry knows of earlier versions, written down for entries that start. */
export interface RecordedVersions {
  /** How far back the entry knows them. */
  readonly coveredMs: Ms;
  /** The versions under each key that has had several. */
  readonly mixed: Readonly<Record<string, readonly string[]>>;
}
