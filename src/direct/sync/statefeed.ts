import type { ChangeFeed } from '../../port/index.js';

/** The part of the change feed that a follower reads. */
export type StateFeed = Pick<ChangeFeed, 'list' | 'changes'>;
