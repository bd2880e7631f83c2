import type { Frame } from '../../wire/index.js';

/** Receives the frames of one attempt. */
export interface FrameReceiver {
  take(frame: Frame): void;
  /** Called when the connection to the sidecar is lost; `unsent` is true if the request was certainly not sent. */
  lost(unsent: boolean, detail: string): void;
}
