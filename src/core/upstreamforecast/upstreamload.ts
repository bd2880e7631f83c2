import type { Ms } from '../../base/index.js';

/** What decides how soon an upstream begins to answer one more request. */
export interface UpstreamLoad {
  /** Requests there, from all entries. */
  readonly load: number;
  /** Requests that it may run at the same time. */
  readonly slots: number;
  /** How long work takes there now, as a factor of the usual time. */
  readonly pace: number;
  /**
   * Usual time to the first event without other requests; Infinity if unknown. The first event of a plain service is
   * its whole answer.
   */
  readonly unloadedFirstMs: Ms;
  /** Usual duration of a request; Infinity if unknown. */
  readonly serviceMs: Ms;
  /** Prompts ahead of the request. */
  readonly prefillCount: number;
}
