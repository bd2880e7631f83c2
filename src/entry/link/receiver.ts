import type { Frame } from '../../wire/index.js';

/** Where the frames of one attempt go. */
export interface Receiver {
  take(frame: Frame): void;
  /** The way to the sidecar was lost; `unsent` if the request certainly never left. */
  lost(unsent: boolean, detail: string): void;
}
