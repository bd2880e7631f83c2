import type { Result } from 'ts-results';
import type { Ms, Revision } from '../base/index.js';
import type { KeyValue } from './keyvalue.js';
import type { KeyValueStore } from './keyvaluestore.js';
import type { StoreFailure } from './storefailure.js';

/** A change of one key. */
type KeyChange =
  | { readonly type: 'put'; readonly item: KeyValue }
  | { readonly type: 'deleted'; readonly key: string; readonly revision: Revision };

/** A store whose changes are read by long polling instead of a watch. */
export interface ChangeFeed extends Omit<KeyValueStore, 'watch'> {
  /**
   * Returns the changes after a revision. Waits up to `waitMs` for the first one. Fails with
   * `store-compacted` if the store no longer has them.
   */
  changes(
    prefix: string,
    afterRevision: Revision,
    waitMs: Ms,
  ): Promise<
    Result<{ readonly changes: readonly KeyChange[]; readonly revision: Revision }, StoreFailure>
  >;
}
