import type { Target } from '../document/index.js';

/** Returns a key for what a request needs in memory: its model and adapter. */
export function loadKey({ model, adapter }: Target): string {
  return `${model ?? ''}/${adapter ?? ''}`;
}
