/** Fields shared by all events of one answer, which a continued answer must repeat. */
export interface StreamTemplate {
  /** `id` of the chunks. */
  readonly id?: string;
  /** `created` of the chunks, in seconds since the epoch. */
  readonly created?: number;
  readonly fingerprint?: string;
  /** Number in the `id:` line of the last event, if the engine writes one. */
  readonly lastEventId?: number;
}
