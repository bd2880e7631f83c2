const GIB = 1_073_741_824;

/** Sizes of the demo's engines and models: three models fit into an engine next to the KV cache reserve. */
export const sizes = {
  memoryBytes: 20 * GIB,
  kvCacheReserveBytes: 4 * GIB,
  modelBytes: 5 * GIB,
  adapterBytes: GIB / 16,
  kvCacheBytesPerToken: 131_072,
};
