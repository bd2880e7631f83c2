const ID_KEY = '"id":';
/** The request id is searched within this many characters after the key, since engines may prepend a prefix. */
const ID_WITHIN_LENGTH = 128;

/** Returns true if JSON of an engine holds the request id in its first `id`, or holds no `id`. */
export function belongsToRequest(json: string, requestId: string): boolean {
  const at = json.indexOf(ID_KEY);
  return at < 0 || json.slice(at, at + ID_WITHIN_LENGTH).includes(requestId);
}
