import { result } from '../../base/index.js';
import type { KeyValueStore, StoreFailure } from '../../port/index.js';

const FAILURE: StoreFailure = {
  type: 'store-unavailable',
  detail: 'No key-value service is set up.',
};

const answer = () => Promise.resolve(result.Err(FAILURE));

/** Stands where no key-value service is set up: every call says so. */
export const absentStore: KeyValueStore = {
  get: answer,
  list: answer,
  swap: answer,
  grantLease: answer,
  renewLease: answer,
  revokeLease: answer,
  watch(_prefix, _fromRevision, tell) {
    tell({ type: 'ended', failure: FAILURE });
    return () => {};
  },
};
