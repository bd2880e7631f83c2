import type { ServiceDocument } from '../../core/document/index.js';

/** Returns the address of an upstream's sidecar according to the document. */
export function addressOf({ groups }: ServiceDocument, upstream: string): string | undefined {
  for (const { upstreams } of groups) {
    for (const { id, sidecarAddress } of upstreams) if (id === upstream) return sidecarAddress;
  }
  return undefined;
}
