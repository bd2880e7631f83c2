import { result } from '../../base/index.js';
import type { KeyValueStore, StoreFailure } from '../../port/index.js';

const FAILURE: StoreFailure = {
  type: 'store-unavailable',
  detail: 'No key-value service is configured.',
};

const answer = () => Promise.resolve(result.Err(FAILURE));

/** Store driver for processes without a configured store: every call fails. */
export const absentStore: KeyValueStore = {
  get: answer,
  list: answer,
  swap: answer,
  grantLease: answer,
  renewLease: answer,
  revokeLease: answer,
  watch(_prefix, _fromRevision, onEvent) {
    onEvent({ type: 'ended', failure: FAILURE });
    return () => {};
  },
};
