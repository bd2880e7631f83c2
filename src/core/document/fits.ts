import { bundles } from './bundles.js';
import { capacities } from './capacities.js';
import { packs } from './packs.js';
import type { ServiceDocument } from './servicedocument.js';

/** Whether all models fit while so many of the largest upstreams are down: the worst case. */
export function fits(document: ServiceDocument, downCount: number): boolean {
  const all = capacities(document);
  const sizes = bundles(document, all[0] ?? 0);
  return packs(sizes, all.slice(downCount));
}
