import type { Refusal } from '../../wire/index.js';

/** How the body of one answer goes to the caller. */
export interface Body {
  /** True once the caller has been sent a part of it. */
  readonly passed: boolean;
  /** False if the caller does not keep up. */
  data(payload: Buffer): boolean;
  end(): void;
  /** Ends it so that the caller knows it is not whole; false if that needs a fresh answer. */
  fail(refusal: Refusal): boolean;
}
