/** Hashes that name requests and keys. */
export { keyHash } from './keyhash.js';
export { requestHash } from './requesthash.js';
