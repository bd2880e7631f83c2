import type { ServiceDocument } from '../../core/document/index.js';

/** Where a document says that an upstream's sidecar is reached. */
export function addressOf({ groups }: ServiceDocument, upstream: string): string | undefined {
  for (const { upstreams } of groups) {
    for (const { id, sidecarAddress } of upstreams) if (id === upstream) return sidecarAddress;
  }
  return undefined;
}
