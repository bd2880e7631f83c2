import { readDocument } from '../../core/document/index.js';
import type { Context } from '../part/index.js';

/** Another sidecar of the same service. */
interface Peer {
  readonly upstream: string;
  readonly sidecarAddress: string;
}

/** Returns the sidecars that can take over a table, those in other availability zones first. */
export function peersOf({ settings, board }: Pick<Context, 'settings' | 'board'>): Peer[] {
  const record = board.get(`document/${settings.service}`);
  const document = record && readDocument(record.value.toString());
  if (!document?.ok) return [];
  const peers: (Peer & { readonly isSameZone: boolean })[] = [];
  for (const { upstreams, availabilityZone } of document.val.groups) {
    const isSameZone = availabilityZone === settings.availabilityZone;
    for (const { id, sidecarAddress } of upstreams) {
      if (id !== settings.upstream) peers.push({ upstream: id, sidecarAddress, isSameZone });
    }
  }
  return peers.sort((one, other) => Number(one.isSameZone) - Number(other.isSameZone));
}
