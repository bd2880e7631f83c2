import type { PeerCertificate } from 'node:tls';

/** The common name that a certificate carries, or an empty string. */
export function nameOf(certificate: PeerCertificate | undefined): string {
  const name = certificate?.subject.CN;
  return typeof name === 'string' ? name : '';
}
