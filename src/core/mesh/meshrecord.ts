/** One versioned record. A higher (epoch, sequence) replaces a lower one, never the reverse. */
export interface MeshRecord {
  /** `document/{service}` or `upstream/{service}/{upstream}`. */
  readonly key: string;
  readonly epoch: number;
  readonly sequence: number;
  /** Empty when what the record told of is gone; the version stays, so that nothing older returns. */
  readonly value: Uint8Array;
  /** Host that published the record; empty for what comes from the store. */
  readonly origin: string;
  /** Addresses of the sidecars that a document names, when the shell has read it. */
  readonly members?: readonly string[];
}
