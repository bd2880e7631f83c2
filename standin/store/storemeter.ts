import type { Ms } from '../../src/base/index.js';

const SECOND_MS = 1000;

/** Counts calls and refuses those above the limit of the current whole second. */
export class StoreMeter {
  /** Calls accepted since the start. Opening a watch counts as one read. */
  readonly taken = { read: 0, write: 0 };

  /** Calls refused since the start. */
  readonly refused = { read: 0, write: 0 };

  private second = -1;

  private readonly inSecond = { read: 0, write: 0 };

  constructor(private readonly limits: { readonly read: number; readonly write: number }) {}

  take(kind: 'read' | 'write', nowMs: Ms): boolean {
    const second = Math.floor(nowMs / SECOND_MS);
    if (second !== this.second) {
      this.second = second;
      this.inSecond.read = 0;
      this.inSecond.write = 0;
    }
    if (this.inSecond[kind] >= this.limits[kind]) {
      this.refused[kind] += 1;
      return false;
    }
    this.inSecond[kind] += 1;
    this.taken[kind] += 1;
    return true;
  }
}
