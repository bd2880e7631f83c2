import type { KeyHash } from '../../base/index.js';
import { hashKey } from './hashkey.js';

const BEARER = /^Bearer +(\S.*)$/i;

/** Returns the hash of the key in an `Authorization` header; undefined if it holds no bearer key. */
export function bearerHash(authorization: string | undefined): KeyHash | undefined {
  const key = BEARER.exec(authorization ?? '')?.[1];
  return key === undefined ? undefined : hashKey(key.trimEnd());
}
