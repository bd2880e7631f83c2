import { bundleSizes } from '../bundlesizes.js';
import { modelCapacities } from '../modelcapacities.js';
import { fitsWithDown } from '../fitswithdown.js';
import type { Check } from './check.js';

const sum = (sizes: readonly number[]) => sizes.reduce((total, size) => total + size, 0);

/**
 * Checks that the models fit in the memory of the upstreams while `spareUpstreams` of them are down. If the
 * document in force fits and has more memory, the finding is that the change removes too much.
 */
export const checkFit: Check = (document, { previous }) => {
  const { spareUpstreams } = document.placement;
  const all = modelCapacities(document);
  const largestBytes = all[0] ?? 0;
  // `checkPlaceable` reports models that no upstream can hold.
  if (document.models.some(({ sizeBytes }) => sizeBytes > largestBytes)) return [];
  if (fitsWithDown(document, spareUpstreams)) return [];
  const needed = sum(bundleSizes(document, largestBytes));
  const left = sum(all.slice(spareUpstreams));
  const detail =
    `models and adapters need ${needed} bytes and do not fit in the ${left} bytes of ` +
    `${Math.max(0, all.length - spareUpstreams)} upstreams (${spareUpstreams} of ${all.length} down)`;
  const previousBytes = previous ? sum(modelCapacities(previous)) : 0;
  if (
    previous &&
    previousBytes > sum(all) &&
    fitsWithDown(previous, previous.placement.spareUpstreams)
  ) {
    return [{ type: 'document-shrinks-too-far', pointer: '/groups', detail }];
  }
  return [{ type: 'document-models-do-not-fit', pointer: '/models', detail }];
};
