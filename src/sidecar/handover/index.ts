/** Hand-over of KV caches between sidecars on a planned stop: the sending and the receiving side. */
export { CacheHandOver } from './cachehandover.js';
export { acceptCache } from './acceptcache.js';
