import { isDocument } from './isdocument.js';
import type { MeshDigest } from './meshdigest.js';
import type { MeshState } from './meshstate.js';

function isUnder(key: string, interests: readonly string[]): boolean {
  return interests.length === 0 || interests.some((prefix) => key.startsWith(prefix));
}

/**
 * What this process holds under some interests. `light` sends a hash over the documents in place of
 * their versions: enough while nothing has gone wrong.
 */
export function digestOf(
  state: MeshState,
  interests: readonly string[],
  light: boolean,
): MeshDigest {
  const { self, revision, documentsHash } = state;
  const head = { host: self.address, revision, interests };
  if (light && documentsHash !== 0) return { ...head, versions: [], hash: documentsHash };
  const versions = [...state.records.values()]
    .filter(({ key }) => isUnder(key, interests))
    .map(({ key, epoch, sequence }) => ({ key, epoch, sequence }));
  // Documents before the rest: the answer is filled in this order.
  versions.sort((a, b) => Number(isDocument(b.key)) - Number(isDocument(a.key)));
  return { ...head, versions, hash: 0 };
}
