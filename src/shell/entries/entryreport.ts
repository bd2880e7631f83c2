import type { EntryStatus } from './entrystatus.js';

/** Result of querying one entry for its status. */
export type EntryReport =
  | { readonly type: 'answered'; readonly url: string; readonly status: EntryStatus }
  | { readonly type: 'unreachable'; readonly url: string; readonly detail: string };
