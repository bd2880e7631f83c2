/** Messages between the system's own processes. Generated from proto/tarragonstile.proto. */
export * from './gen/tarragonstile.js';
