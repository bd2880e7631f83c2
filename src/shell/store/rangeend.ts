/** Returns the `range_end` for a prefix: the first key after all keys that start with it, in base64. */
export function rangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const last = bytes.length - 1;
  // All prefixes end in an ASCII character, so the last byte can always be incremented.
  bytes.writeUInt8(bytes.readUInt8(last) + 1, last);
  return bytes.toString('base64');
}
