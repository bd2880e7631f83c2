/** How far one entry has heard of what another one knows. */
export interface SuspectMark {
  /** Names the other's memory: it is a new one after a restart. */
  readonly book: string;
  readonly index: number;
}
