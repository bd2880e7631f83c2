/** Progress of the answer to one attempt. */
export interface Sequence {
  readonly requestId: string;
  readonly attempt: number;
  /** Expected sequence number of the next frame. */
  readonly next: number;
  /** Data frames that were passed on. */
  readonly dataCount: number;
  readonly phase: 'waiting' | 'answering' | 'ended';
}
