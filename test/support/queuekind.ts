import type { Ms } from '../../src/base/index.js';

/** Requests of one kind; each takes `msPerToken` for each of its tokens at a slot. */
export interface QueueKind {
  readonly name: string;
  readonly priority: number;
  readonly targetMs: Ms;
  readonly deadlineMs: Ms;
  readonly perS: number;
  readonly tokens: readonly number[];
  readonly msPerToken: number;
}
