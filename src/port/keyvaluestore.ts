import type { Result } from 'ts-results';
import type { Ms, Revision } from '../base/index.js';
import type { KeyValue } from './keyvalue.js';
import type { StoreFailure } from './storefailure.js';
import type { Swap } from './swap.js';
import type { SwapOutcome } from './swapoutcome.js';
import type { WatchEvent } from './watchevent.js';

/** The platform's key-value service. Every call counts against its rate, a waiting watch as one. */
export interface KeyValueStore {
  get(key: string): Promise<Result<KeyValue | undefined, StoreFailure>>;
  /** All keys under a prefix, with the store's revision at the read. */
  list(
    prefix: string,
  ): Promise<Result<{ items: readonly KeyValue[]; revision: Revision }, StoreFailure>>;
  swap(swap: Swap): Promise<Result<SwapOutcome, StoreFailure>>;
  grantLease(ttlMs: Ms): Promise<Result<string, StoreFailure>>;
  /** The remaining life of the lease in ms; 0 if it has lapsed. */
  renewLease(leaseId: string): Promise<Result<Ms, StoreFailure>>;
  revokeLease(leaseId: string): Promise<Result<void, StoreFailure>>;
  /** Tells of changes after `fromRevision` until the returned function is called. */
  watch(prefix: string, fromRevision: Revision, tell: (event: WatchEvent) => void): () => void;
}
