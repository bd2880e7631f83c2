/** A benchmark: receives the command-line arguments after its name and returns a result, printed as JSON. */
export type Bench = (args: readonly string[]) => Promise<object>;
