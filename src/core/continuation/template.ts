/** What every event of one answer has in common, and what a continued answer has to go on with. */
export interface Template {
  /** `id` of the chunks. */
  readonly id?: string;
  /** `created` of the chunks, in seconds since the epoch. */
  readonly created?: number;
  readonly fingerprint?: string;
  /** Number in the last event's own `id:` line, if the engine writes one. */
  readonly lastEventId?: number;
}
