import type { KeyHash } from '../../base/index.js';
import { hashKey } from './hashkey.js';

const BEARER = /^Bearer +(\S.*)$/i;

/** Hash of the key in an `Authorization` header; undefined without a bearer key. */
export function bearerHash(authorization: string | undefined): KeyHash | undefined {
  const key = BEARER.exec(authorization ?? '')?.[1];
  return key === undefined ? undefined : hashKey(key.trimEnd());
}
