import { bundles } from '../bundles.js';
import { capacities } from '../capacities.js';
import { fits } from '../fits.js';
import type { Check } from './check.js';

const sum = (sizes: readonly number[]) => sizes.reduce((total, size) => total + size, 0);

/**
 * Finds that the models do not fit in the memory of the upstreams while `spareUpstreams` of them are
 * down. Where the document in force still fitted, the change takes away too much.
 */
export const checkFit: Check = (document, { previous }) => {
  const { spareUpstreams } = document.placement;
  const all = capacities(document);
  const largestBytes = all[0] ?? 0;
  // What no upstream can hold has a finding of its own.
  if (document.models.some(({ sizeBytes }) => sizeBytes > largestBytes)) return [];
  if (fits(document, spareUpstreams)) return [];
  const needed = sum(bundles(document, largestBytes));
  const left = sum(all.slice(spareUpstreams));
  const detail =
    `models and adapters need ${needed} bytes and do not fit in the ${left} bytes of ` +
    `${Math.max(0, all.length - spareUpstreams)} upstreams (${spareUpstreams} of ${all.length} down)`;
  const had = previous ? sum(capacities(previous)) : 0;
  if (previous && had > sum(all) && fits(previous, previous.placement.spareUpstreams)) {
    return [{ type: 'document-shrinks-too-far', pointer: '/groups', detail }];
  }
  return [{ type: 'document-models-do-not-fit', pointer: '/models', detail }];
};
