/** Hashes that identify requests and keys. */
export { keyHash } from './keyhash.js';
export { requestHash } from './requesthash.js';
export { bearerHash } from './bearerhash.js';
export { hashKey } from './hashkey.js';
