import { ChannelCredentials, ServerCredentials, experimental } from '@grpc/grpc-js';
import type { PeerCertificate } from 'node:tls';
import { FailureError } from '../../base/index.js';
import type { Log } from '../../port/index.js';
import { commonNameInterceptor } from './commonnameinterceptor.js';
import { KeyFiles } from './keyfiles.js';
import { commonNameOf } from './commonnameof.js';
import type { PeerCredentials } from './credentials.js';
import type { PeerSettings } from './peersettings.js';

const INSECURE: PeerCredentials = {
  server: ServerCredentials.createInsecure(),
  channel: ChannelCredentials.createInsecure(),
  close() {},
};

/** Identifies a server by its common name. Hosts are replaced often, so an address proves nothing. */
function serverCheck(allowedNames: readonly string[]) {
  return (_host: string, certificate: PeerCertificate): Error | undefined => {
    const name = commonNameOf(certificate);
    if (allowedNames.includes(name)) return undefined;
    const detail = `The certificate's common name ${name || '(none)'} is not in allowedNames.`;
    return new FailureError({ type: 'peer-unknown', detail });
  };
}

/** Creates credentials for mutual TLS with keys that are reloaded at run time; insecure ones without settings. */
export function peerCredentials(
  settings: PeerSettings | null | undefined,
  log: Log,
): PeerCredentials {
  if (!settings) return INSECURE;
  const opened = KeyFiles.open(settings, log);
  if (opened.err) throw new FailureError(opened.val);
  const files = opened.val;
  const server = experimental.createServerCredentialsWithInterceptors(
    experimental.createCertificateProviderServerCredentials(files, files, true),
    [commonNameInterceptor(settings.allowedNames)],
  );
  const channel = experimental.createCertificateProviderChannelCredentials(files, files, {
    checkServerIdentity: serverCheck(settings.allowedNames),
  });
  return { server, channel, close: () => files.close() };
}
