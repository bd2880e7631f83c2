/** Messages between the system's own processes, generated from proto/tarragonstile.proto. */
export * from './gen/tarragonstile.js';
