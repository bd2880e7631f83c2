import type { Ms } from '../base/index.js';

/** Request rate that an upstream accepts, as stated in the head of an answer. */
type ReportedRate =
  /** At most `perS` requests per second, summed over all processes that send. */
  | { readonly type: 'limited'; readonly perS: number }
  /** No limit. */
  | { readonly type: 'unlimited' }
  /** The answer says nothing about a limit: the last known state stays valid. */
  | { readonly type: 'unsaid' };

/** State, other than load, that an upstream reports of itself in the head of an answer. */
export interface SelfReport {
  readonly rate: ReportedRate;
  /** True if the upstream stops soon and accepts no new requests. */
  readonly isLeaving: boolean;
  /** Backoff: how long this process must send nothing to the upstream; absent if none is stated. */
  readonly backoffMs?: Ms;
  /** Header fields that could not be parsed, with their values. */
  readonly unreadable: readonly string[];
}
