import type { MeshSelf } from './meshself.js';

/** True if a process keeps records of this key. A sidecar keeps only the keys in its interests. */
export function isWanted(self: MeshSelf, key: string): boolean {
  return self.interests.length === 0 || self.interests.includes(key);
}
