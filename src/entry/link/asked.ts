/** One attempt that was sent. */
export interface Asked {
  /** Lets the sidecar send so many more data frames. */
  grant(dataCount: number): void;
  /** Tells the sidecar that the answer is of no more use. Nothing is received afterwards. */
  cancel(reason: string): void;
  /** The answer has come to its end. */
  done(): void;
}
