/** Contents of the key files, as read together. */
export interface KeyMaterial {
  readonly certificate: Buffer;
  readonly privateKey: Buffer;
  readonly caCertificate?: Buffer;
}
