import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import type { Result } from 'ts-results';
import { result, toFailure, type Failure } from '../../base/index.js';
import type { KeyMaterial } from './keymaterial.js';
import type { KeySettings } from './keysettings.js';

/** Reads the key files and checks that they match. */
export function readKeys(settings: KeySettings): Result<KeyMaterial, Failure> {
  try {
    const certificate = readFileSync(settings.certificateFile);
    const privateKey = readFileSync(settings.keyFile);
    const caCertificate = settings.caFile ? readFileSync(settings.caFile) : undefined;
    // Throws when the key does not belong to the certificate.
    createSecureContext({ cert: certificate, key: privateKey, ca: caCertificate });
    return result.Ok({ certificate, privateKey, caCertificate });
  } catch (thrown) {
    return result.Err(toFailure('keys-unusable', thrown));
  }
}
