import type { ResidencyUpdate } from './residencyupdate.js';
import type { ResidencyCursor } from './residencycursor.js';

type ResidencyChange = ResidencyUpdate['changes'][number];

/** Entries poll several times a second; older changes are in the list as well. */
const MAX_CHANGES = 200;

/**
 * The latest residency changes by the order lease holder, for entries that would learn them from the list up to 2 s
 * later: 109 requests in 4 s went to an engine whose adapters had been unloaded.
 */
export class ResidencyChanges {
  private kept: ResidencyChange[] = [];

  private lastIndex = 0;

  add(change: ResidencyChange): void {
    this.kept.push(change);
    this.lastIndex += 1;
    if (this.kept.length > MAX_CHANGES) this.kept.shift();
  }

  /** Returns no old changes to an entry whose cursor is of another holder: its list may be newer than they are. */
  since(cursor: ResidencyCursor | undefined, epoch: number): ResidencyUpdate {
    const index = this.lastIndex;
    if (cursor?.epoch !== epoch) return { epoch, index, changes: [] };
    const count = Math.min(this.kept.length, index - cursor.index);
    return { epoch, index, changes: count > 0 ? this.kept.slice(-count) : [] };
  }
}
