import type { ServiceDocument } from './servicedocument.js';

/**
 * Memory for models and adapters, in bytes, of each upstream that can hold models for whole requests,
 * largest first. Engines that only prefill cannot answer alone.
 */
export function capacities({ groups }: ServiceDocument): readonly number[] {
  return groups
    .filter(({ type, role }) => type === 'engine' && role !== 'prefill')
    .flatMap(({ upstreams, memoryBytes, kvCacheReserveBytes }) =>
      upstreams.map(() => memoryBytes - kvCacheReserveBytes),
    )
    .sort((a, b) => b - a);
}
