import type { Ms } from '../../base/index.js';
import type { Swap } from '../../port/index.js';
import type { AuditEntry } from '../audit/index.js';
import type { Accepted } from './accepted.js';
import type { AcceptanceFailure } from './acceptancefailure.js';

/** Actions that the shell executes. */
export type AcceptanceEffect =
  | { readonly type: 'read'; readonly key: string }
  | { readonly type: 'swap'; readonly swap: Swap }
  | { readonly type: 'wait'; readonly delayMs: Ms }
  /** Audit entries that the swap drops from the stored value. The same entries may be logged more than once. */
  | { readonly type: 'log'; readonly entries: readonly AuditEntry[] }
  | { readonly type: 'accepted'; readonly accepted: Accepted }
  | { readonly type: 'rejected'; readonly failure: AcceptanceFailure };
