import type { Refusal } from '../../wire/index.js';

/** Sends the body of one answer to the caller. */
export interface Body {
  /** True once a part of the body has been sent to the caller. */
  readonly hasSent: boolean;
  /** Writes a part of the body. Returns false if the caller does not keep up. */
  data(payload: Buffer): boolean;
  end(): void;
  /**
   * Ends the body so that the caller can tell that it is incomplete. Returns false if nothing has been sent yet, so that
   * a complete error response is still possible.
   */
  fail(refusal: Refusal): boolean;
  /** Gives up what is held. */
  discard(): void;
}
