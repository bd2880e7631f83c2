/** A benchmark: takes what follows its name on the command line, gives a result to print as JSON. */
export type Bench = (args: readonly string[]) => Promise<object>;
