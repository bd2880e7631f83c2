/** How far the answer to one attempt has come. */
export interface Sequence {
  readonly requestId: string;
  readonly attempt: number;
  /** Sequence number that the next frame must have. */
  readonly next: number;
  /** Data frames that were passed on. */
  readonly dataCount: number;
  readonly phase: 'waiting' | 'answering' | 'ended';
}
