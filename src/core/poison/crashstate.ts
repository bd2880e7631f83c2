/**
 * What has become clear of an upstream that seemed to end under a request; where two entries differ, the later
 * one of this list holds.
 */
export type CrashState =
  /** The connection broke; nothing else is known yet. */
  | 'open'
  /** The upstream goes on, or was about to leave: the request has nothing to do with it. */
  | 'explained'
  /** The upstream is gone. */
  | 'ended'
  /** The same request ran well elsewhere, or an operator has lifted the verdict. */
  | 'cleared';
