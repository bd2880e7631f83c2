import type { ModelId } from '../../base/index.js';
import type { ServiceSpec } from '../routetable/index.js';

/**
 * Returns the memory that a model with its adapters takes at an engine. A model that has left the configuration counts
 * as the largest one, because an engine that still holds it has no more room than before.
 */
export function heldMb(
  { models }: NonNullable<ServiceSpec['engine']>,
  model: ModelId,
  adapterCount: number,
): number {
  const spec = models.get(model);
  if (spec) return spec.sizeMb + adapterCount * spec.adapterSizeMb;
  let largestMb = 0;
  for (const { sizeMb, adapterSizeMb } of models.values()) {
    largestMb = Math.max(largestMb, sizeMb + adapterCount * adapterSizeMb);
  }
  return largestMb;
}
