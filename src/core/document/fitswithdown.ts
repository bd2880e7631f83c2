import { bundleSizes } from './bundlesizes.js';
import { modelCapacities } from './modelcapacities.js';
import { canPack } from './canpack.js';
import type { ServiceDocument } from './servicedocument.js';

/** True if all models fit while the `downCount` largest upstreams are down, which is the worst case. */
export function fitsWithDown(document: ServiceDocument, downCount: number): boolean {
  const all = modelCapacities(document);
  const sizes = bundleSizes(document, all[0] ?? 0);
  return canPack(sizes, all.slice(downCount));
}
