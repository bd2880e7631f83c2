import type { Target } from '../document/index.js';

/** Names what has to be in memory for a request: model and adapter. */
export function loadKey({ model, adapter }: Target): string {
  return `${model ?? ''}/${adapter ?? ''}`;
}
