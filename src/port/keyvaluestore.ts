import type { Result } from 'ts-results';
import type { Ms, Revision } from '../base/index.js';
import type { KeyValue } from './keyvalue.js';
import type { StoreFailure } from './storefailure.js';
import type { Swap } from './swap.js';
import type { SwapOutcome } from './swapoutcome.js';
import type { WatchEvent } from './watchevent.js';

/** The platform's key-value service. Every call counts against its rate limit; an open watch counts as one call. */
export interface KeyValueStore {
  get(key: string): Promise<Result<KeyValue | undefined, StoreFailure>>;
  /** Returns all keys under a prefix, and the store's revision at the time of the read. */
  list(
    prefix: string,
  ): Promise<Result<{ items: readonly KeyValue[]; revision: Revision }, StoreFailure>>;
  swap(swap: Swap): Promise<Result<SwapOutcome, StoreFailure>>;
  grantLease(ttlMs: Ms): Promise<Result<string, StoreFailure>>;
  /** Returns the remaining lifetime of the lease in ms; 0 if it has lapsed. */
  renewLease(leaseId: string): Promise<Result<Ms, StoreFailure>>;
  revokeLease(leaseId: string): Promise<Result<void, StoreFailure>>;
  /** Reports changes after `fromRevision` until the returned function is called. */
  watch(prefix: string, fromRevision: Revision, onEvent: (event: WatchEvent) => void): () => void;
}
