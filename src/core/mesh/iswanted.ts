import type { MeshSelf } from './meshself.js';

/** Whether a process holds records of this key: a sidecar holds only what concerns it. */
export function isWanted(self: MeshSelf, key: string): boolean {
  return self.interests.length === 0 || self.interests.includes(key);
}
