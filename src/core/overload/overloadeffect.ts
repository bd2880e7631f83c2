import type { Ms } from '../../base/index.js';

/** What follows from an event. */
export type OverloadEffect =
  | { readonly type: 'accept' }
  /** The connection is to be accepted, and its request to be refused by an answer. */
  | { readonly type: 'refuse' }
  /** The connection is to be closed unread, so that its caller tries another host. */
  | { readonly type: 'close' }
  /** The queue is empty again. */
  | {
      readonly type: 'drained';
      readonly closedCount: number;
      readonly sheddingForMs: Ms;
    };
