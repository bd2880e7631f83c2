/**
 * Marks a plain value with a name that the compiler checks, so that, say, a model's id is not passed
 * for a customer's. Cast once, where a value enters the process.
 */
export type Brand<Value, Name extends string> = Value & { readonly __brand: Name };
