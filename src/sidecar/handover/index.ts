/** Hand-over of KV caches between sidecars on a planned stop: both sides of it. */
export { CacheHandOver } from './cachehandover.js';
export { takeCache } from './takecache.js';
