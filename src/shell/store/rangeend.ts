/** The first key after all that begin with this prefix, as the gateway asks for. */
export function rangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const last = bytes.length - 1;
  // Prefixes here end in ASCII, so the last byte can always be raised.
  bytes.writeUInt8(bytes.readUInt8(last) + 1, last);
  return bytes.toString('base64');
}
