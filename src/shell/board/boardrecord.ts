/** One record of the board. A higher (epoch, sequence) replaces a lower one, and never the reverse. */
export interface BoardRecord {
  /** `document/{service}` or `upstream/{service}/{upstream}`. */
  readonly key: string;
  /** The sidecar's incarnation for upstreams; 0 for documents. */
  readonly epoch: number;
  /** The store's revision for documents; a counter for upstreams. */
  readonly sequence: number;
  /** Empty when what the record told of is gone; `get` and `list` do not give such records. */
  readonly value: Buffer;
  /** Host that published the record; filled in by the board. */
  readonly origin?: string;
}
