import type { Ms } from '../../base/index.js';
import type { ModelSpec } from '../routetable/index.js';
import type { Site } from './site.js';

/** Returns how long an engine takes to load a model, and whether it loads it from the weight store. */
export function loadTime({ upstream }: Site, spec: ModelSpec): { ms: Ms; isFromStore: boolean } {
  if (upstream.warm.has(spec.id)) return { ms: spec.warmLoadMs, isFromStore: false };
  if (upstream.onDisk.has(spec.id)) return { ms: spec.diskLoadMs, isFromStore: false };
  return { ms: spec.loadMs, isFromStore: true };
}
