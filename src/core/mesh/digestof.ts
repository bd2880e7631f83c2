import { isDocument } from './isdocument.js';
import type { MeshDigest } from './meshdigest.js';
import type { MeshState } from './meshstate.js';

function isUnder(key: string, interests: readonly string[]): boolean {
  return interests.length === 0 || interests.some((prefix) => key.startsWith(prefix));
}

/**
 * Lists the versions that this process holds under the given key prefixes. A `light` digest carries one
 * hash over all documents instead of their versions, which suffices while both sides are in step.
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
  // Documents come first: the answer is filled in this order and may be truncated.
  versions.sort((a, b) => Number(isDocument(b.key)) - Number(isDocument(a.key)));
  return { ...head, versions, hash: 0 };
}
