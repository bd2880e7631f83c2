// ts-results is a CommonJS module; only this file has to handle that.
import results from 'ts-results';

/** Constructors of ts-results: `result.Ok(value)` and `result.Err(failure)`. */
export const result = { Ok: results.Ok, Err: results.Err };
