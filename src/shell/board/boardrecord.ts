/** One record of the board. A record is replaced only by one with a higher (epoch, sequence). */
export interface BoardRecord {
  /** `document/{service}` or `upstream/{service}/{upstream}`. */
  readonly key: string;
  /** Incarnation of the sidecar for upstream records; 0 for documents. */
  readonly epoch: number;
  /** Store revision for documents; a counter for upstream records. */
  readonly sequence: number;
  /** Empty for a deletion marker; `get` and `list` leave such records out. */
  readonly value: Buffer;
  /** Host that published the record; set by the board. */
  readonly origin?: string;
}
