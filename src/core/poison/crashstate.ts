/**
 * What is known of an upstream that seemed to crash under a trait. Where the records of two entries differ, the state
 * that is later in this list wins.
 */
export type CrashState =
  /** The connection broke; nothing else is known yet. */
  | 'open'
  /** The upstream is still running, or was about to leave: the trait is not the cause. */
  | 'explained'
  /** The upstream is gone. */
  | 'ended'
  /** A request with the trait ran well on the same software, or an operator has lifted the verdict. */
  | 'cleared';
