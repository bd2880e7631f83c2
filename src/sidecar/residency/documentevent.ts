import type { ServiceDocument } from '../../core/document/index.js';
import type { ResidencyEvent } from '../../core/residency/index.js';

/** Returns the document event for one upstream's memory; undefined if the document does not list the upstream. */
export function documentEvent(
  document: ServiceDocument,
  upstream: string,
): Extract<ResidencyEvent, { type: 'document' }> | undefined {
  const group = document.groups.find(({ upstreams }) =>
    upstreams.some(({ id }) => id === upstream),
  );
  if (!group) return undefined;
  const { checksFencing, memoryBytes, kvCacheReserveBytes: bytes } = group;
  const { models, adapters } = document;
  return {
    type: 'document',
    catalogue: {
      models: new Map(models.map(({ id, version, sizeBytes }) => [id, { version, sizeBytes }])),
      adapters: new Map(adapters.map(({ id, model, sizeBytes }) => [id, { model, sizeBytes }])),
    },
    checksFencing,
    capacityBytes: memoryBytes,
    kvCacheReserveBytes: { mixed: bytes, prefill: bytes, decode: bytes },
  };
}
