/** What a process observes of its accept queue. */
export type OverloadEvent =
  /** The next connection of the queue can be accepted; `mayClose` if it may be closed unread at once. */
  | { readonly type: 'connection'; readonly mayClose: boolean }
  /** The event loop has polled once more since it found a connection. */
  | { readonly type: 'polled'; readonly isQueueEmpty: boolean };
