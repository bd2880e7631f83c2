/**
 * Gives a plain value a distinct compile-time type, so that a model id cannot be passed where a customer id
 * is expected. Values are cast once, where they enter the process.
 */
export type Brand<Value, Name extends string> = Value & { readonly __brand: Name };
