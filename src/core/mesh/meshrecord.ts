/** A versioned record. A higher (epoch, sequence) replaces a lower one, never the reverse. */
export interface MeshRecord {
  /** `document/{service}` or `upstream/{service}/{upstream}`. */
  readonly key: string;
  readonly epoch: number;
  readonly sequence: number;
  /** Empty for a tombstone: the version is kept so that no older record returns. */
  readonly value: Uint8Array;
  /** Host that published the record; empty for records from the store. */
  readonly origin: string;
  /** Addresses of the sidecars that a document names, if the shell has parsed it. */
  readonly members?: readonly string[];
}
