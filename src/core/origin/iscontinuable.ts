import type { ModelId } from '../../base/index.js';
import type { Upstream } from '../upstreams/index.js';
import type { StreamOrigin } from './streamorigin.js';

/** Returns true if an upstream can continue a stream, as far as the list tells. */
export function isContinuable(
  upstream: Pick<Upstream, 'service' | 'softwareVersion' | 'models'>,
  { service, softwareVersion, weightsVersion }: StreamOrigin,
  model: ModelId | undefined,
): boolean {
  if (upstream.service !== service || upstream.softwareVersion !== softwareVersion) return false;
  const held = model === undefined ? undefined : upstream.models.get(model);
  return (
    held === undefined || weightsVersion === undefined || String(held.version) === weightsVersion
  );
}
