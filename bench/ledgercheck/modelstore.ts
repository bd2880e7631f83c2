import type { Revision } from '../../src/base/index.js';
import type { KeyValue, SwapOutcome } from '../../src/port/index.js';

/** Reference model of the store, reduced to one key with compare-and-swap. */
export class ModelStore {
  isDown = false;

  private revision = 0;

  private item: KeyValue | undefined;

  get(): KeyValue | undefined {
    return this.item;
  }

  swap(expectedRevision: Revision, value: string): SwapOutcome {
    const current = this.item;
    if ((current?.revision ?? 0) !== expectedRevision) return { type: 'conflict', current };
    this.revision += 1;
    const revision = this.revision as Revision;
    this.item = { key: 'upstream', value, revision };
    return { type: 'swapped', revision };
  }
}
