import type { Result } from 'ts-results';
import type { Ms, Revision } from '../base/index.js';
import type { KeyValue } from './keyvalue.js';
import type { KeyValueStore } from './keyvaluestore.js';
import type { StoreFailure } from './storefailure.js';

/** One change of a key. */
type KeyChange =
  | { readonly type: 'put'; readonly item: KeyValue }
  | { readonly type: 'deleted'; readonly key: string; readonly revision: Revision };

/** A store whose changes are asked for, each question waiting until there are some. */
export interface ChangeFeed extends Omit<KeyValueStore, 'watch'> {
  /** Changes after a revision, at most `waitMs` later; `store-compacted` if they are forgotten. */
  changes(
    prefix: string,
    afterRevision: Revision,
    waitMs: Ms,
  ): Promise<
    Result<{ readonly changes: readonly KeyChange[]; readonly revision: Revision }, StoreFailure>
  >;
}
