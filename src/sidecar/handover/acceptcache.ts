import type { RequestId } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { CacheImport, CacheImportReply } from '../../wire/index.js';
import type { Context, Residency } from '../part/index.js';

type Ports = Pick<Context, 'settings' | 'engine' | 'metrics' | 'log'>;

/** Imports the KV cache of a stream that a stopping sidecar sends, if the model is ready here. */
export async function acceptCache(
  { settings, engine, metrics, log }: Ports,
  residency: Residency,
  { service, requestId, model, adapter, cache }: CacheImport,
): Promise<CacheImportReply> {
  if (!engine || service !== settings.service) {
    return {
      refusal: refuse('service-unknown', `This sidecar has no engine of service "${service}".`),
    };
  }
  const unpin = residency.pin(model, adapter);
  if (unpin.err) return { refusal: unpin.val };
  try {
    const taken = await engine.importCache(requestId as RequestId, cache);
    metrics.count('cache.taken', 1, { end: taken.err ? taken.val.type : 'imported' });
    if (taken.err) return { refusal: refuse(taken.val.type, taken.val.detail) };
    log.info('KV cache taken over', { requestId, sizeBytes: cache.length });
    return { refusal: undefined };
  } finally {
    unpin.val();
  }
}
