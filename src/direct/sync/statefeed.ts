import type { ChangeFeed } from '../../port/index.js';

/** What a follower reads. */
export type StateFeed = Pick<ChangeFeed, 'list' | 'changes'>;
