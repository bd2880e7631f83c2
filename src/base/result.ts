// ts-results is CommonJS; this is the one place that knows it.
import results from 'ts-results';

/** The library's constructors: `result.Ok(value)` and `result.Err(failure)`. */
export const result = { Ok: results.Ok, Err: results.Err };
