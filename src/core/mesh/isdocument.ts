const PREFIX = 'document/';

/** True if a key names a service document. */
export function isDocument(key: string): boolean {
  return key.startsWith(PREFIX);
}
