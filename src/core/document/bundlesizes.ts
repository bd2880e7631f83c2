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
 * Returns the sizes of the bundles that must each fit one upstream: a model with its adapters. If the
 * adapters do not fit beside their model even at the largest upstream, they are split over several replicas.
 */
export function bundleSizes(document: ServiceDocument, largestBytes: number): readonly number[] {
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
