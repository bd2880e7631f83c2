/** Key and version of a record, without its value. */
export interface MeshVersion {
  readonly key: string;
  readonly epoch: number;
  readonly sequence: number;
}
