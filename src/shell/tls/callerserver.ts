import { createServer, type Server, type ServerOptions } from 'node:http';
import { createServer as createSecureServer } from 'node:https';
import { FailureError } from '../../base/index.js';
import type { Log } from '../../port/index.js';
import type { KeyMaterial } from './keymaterial.js';
import { KeyFiles } from './keyfiles.js';
import type { KeySettings } from './keysettings.js';

function contextOf({ certificate, privateKey, caCertificate }: KeyMaterial) {
  return { cert: certificate, key: privateKey, ca: caCertificate };
}

/**
 * Creates the server for callers: HTTPS if there are key settings, otherwise HTTP. With `caFile`, only callers with a
 * certificate of that authority are accepted. New connections use reloaded keys.
 */
export function callerServer(
  settings: KeySettings | null | undefined,
  log: Log,
  options: ServerOptions,
): Server {
  if (!settings) return createServer(options);
  const opened = KeyFiles.open(settings, log);
  if (opened.err) throw new FailureError(opened.val);
  const files = opened.val;
  const requiresClientCertificate = Boolean(settings.caFile);
  const server = createSecureServer({
    ...options,
    ...contextOf(files.current()),
    requestCert: requiresClientCertificate,
    rejectUnauthorized: requiresClientCertificate,
  });
  files.subscribe((material) => server.setSecureContext(contextOf(material)));
  server.on('close', () => files.close());
  return server;
}
