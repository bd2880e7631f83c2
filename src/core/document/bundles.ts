import type { Adapter } from './adapter.js';
import type { ServiceDocument } from './servicedocument.js';

function byModel(adapters: readonly Adapter[]): ReadonlyMap<string, readonly Adapter[]> {
  const groups = new Map<string, Adapter[]>();
  for (const adapter of adapters) {
    const group = groups.get(adapter.model);
    if (group) group.push(adapter);
    else groups.set(adapter.model, [adapter]);
  }
  return groups;
}

/**
 * Sizes, in bytes, of what has to lie together at one upstream: a model with its adapters. Where the
 * adapters are too many for the largest upstream, they are spread over several copies of their model.
 */
export function bundles(document: ServiceDocument, largestBytes: number): readonly number[] {
  const adapters = byModel(document.adapters);
  const sizes: number[] = [];
  for (const { id, sizeBytes } of document.models) {
    let bundleBytes = sizeBytes;
    for (const adapter of adapters.get(id) ?? []) {
      if (bundleBytes + adapter.sizeBytes > largestBytes) {
        sizes.push(bundleBytes);
        bundleBytes = sizeBytes;
      }
      bundleBytes += adapter.sizeBytes;
    }
    sizes.push(bundleBytes);
  }
  return sizes.sort((a, b) => b - a);
}
