import type { ServiceDocument } from './servicedocument.js';

/**
 * Returns the memory for models and adapters, in bytes, of each upstream that can serve whole requests,
 * largest first. Prefill engines are left out: they cannot answer alone.
 */
export function modelCapacities({ groups }: ServiceDocument): readonly number[] {
  return groups
    .filter(({ type, role }) => type === 'engine' && role !== 'prefill')
    .flatMap(({ upstreams, memoryBytes, kvCacheReserveBytes }) =>
      upstreams.map(() => memoryBytes - kvCacheReserveBytes),
    )
    .sort((a, b) => b - a);
}
