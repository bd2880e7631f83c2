import { Heap } from '../admission/index.js';
import type { QueueState } from './queuestate.js';

/** Returns an empty queue. */
export function startQueue(): QueueState {
  return {
    waiting: new Map(),
    targets: new Map(),
    usage: new Map(),
    changes: new Heap(),
    reviews: new Heap(),
    sizeBytes: 0,
  };
}
