import type { ServiceDocument } from './servicedocument.js';

/**
 * Sizes, in bytes, of what has to lie together at one upstream: a model with its adapters. Where the
 * adapters are too many for the largest upstream, they are spread over several copies of their model.
 */
export function bundles(document: ServiceDocument, largestBytes: number): readonly number[] {
  const sizes: number[] = [];
  for (const { id, sizeBytes } of document.models) {
    let bundleBytes = sizeBytes;
    const own = document.adapters.filter(({ model }) => model === id);
    for (const adapter of own) {
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
