/** An event of a stream, without its closing empty line. */
export interface StreamEvent {
  readonly lines: readonly {
    /** Undefined for a comment or another field. */
    readonly name: 'data' | 'id' | undefined;
    /** The field's value, or the whole line if it has no name. */
    readonly text: string;
  }[];
}
