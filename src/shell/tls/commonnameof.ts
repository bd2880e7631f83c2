import type { PeerCertificate } from 'node:tls';

/** Returns the common name of a certificate, or an empty string. */
export function commonNameOf(certificate: PeerCertificate | undefined): string {
  const name = certificate?.subject.CN;
  return typeof name === 'string' ? name : '';
}
