import type { Epoch, Ms } from '../../base/index.js';

/** One entry's part in who plans a service's region. */
export interface LeaseState {
  readonly phase: 'watching' | 'granting' | 'swapping' | 'reading-back' | 'holding';
  readonly key: string;
  /** Names this process's attempt in the key's value, so that a lost answer can be read back. */
  readonly nonce: string;
  readonly leaseId: string;
  /** The store's revision at which the key was taken: higher for every later holder. */
  readonly epoch: Epoch;
  /** Highest epoch that a sidecar has named. */
  readonly metEpoch: Epoch;
  /** When the store is asked next. */
  readonly dueAtMs: Ms;
}
