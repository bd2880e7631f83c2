import type { StoreSettings } from '../../shell/store/index.js';

/** Settings of operator commands. */
export interface OperatorSettings {
  readonly store?: StoreSettings | null;
  /** Base URLs of entries, for `status` and `apply --wait`. */
  readonly entries: string[];
  /** Team on whose behalf the operator acts. */
  readonly team?: string | null;
}
