import { defaultCurve } from './defaultcurve.js';
import type { EngineOptions } from './engineoptions.js';

/** Default options of the stand-in engine. */
export const engineDefaults: EngineOptions = {
  curve: defaultCurve,
  tokens: 20,
  maxRunning: 64,
  memoryBytes: undefined,
  kvCacheBytes: 0,
  kvCacheBytesPerToken: 131_072,
  cacheBlocks: 4096,
  checksFencing: true,
  unloadMs: 50,
  roleMs: 100,
};
