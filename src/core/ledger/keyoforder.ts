import type { Order } from '../../port/index.js';
import type { HoldingKey } from './holdingkey.js';
import { holdingKeyOf } from './holdingkeyof.js';

/** Returns the key that an order changes; undefined for a change of role. */
export function keyOfOrder({ model, version, adapter }: Order): HoldingKey | undefined {
  return model === undefined ? undefined : holdingKeyOf(model, version ?? '', adapter);
}
