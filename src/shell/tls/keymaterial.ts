/** Contents of the key files, all read at the same time. */
export interface KeyMaterial {
  readonly certificate: Buffer;
  readonly privateKey: Buffer;
  readonly caCertificate?: Buffer;
}
