import type { StoreSettings } from '../../shell/store/index.js';

/** Settings of the operators' commands. */
export interface OperatorSettings {
  readonly store?: StoreSettings | null;
  /** Base URLs of entries, for `status` and `apply --wait`. */
  readonly entries: string[];
  /** Team that the operator acts for. */
  readonly team?: string | null;
}
