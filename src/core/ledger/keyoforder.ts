import type { Order } from '../../port/index.js';
import type { HoldingKey } from './holdingkey.js';
import { nameHolding } from './nameholding.js';

/** What an order changes; undefined for a change of role. */
export function keyOfOrder({ model, version, adapter }: Order): HoldingKey | undefined {
  return model === undefined ? undefined : nameHolding(model, version ?? '', adapter);
}
