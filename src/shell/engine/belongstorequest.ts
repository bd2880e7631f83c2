const EVENT_END = Buffer.from('\n\n');
const ID_KEY = Buffer.from('"id":');
/** The request id is searched within this many bytes after the key, since engines may prepend a prefix. */
const ID_WITHIN_BYTES = 128;

function eventBelongsToRequest(event: Buffer, requestId: Buffer): boolean {
  const at = event.indexOf(ID_KEY);
  return at < 0 || event.subarray(at, at + ID_WITHIN_BYTES).includes(requestId);
}

/**
 * Returns true if every event in the payload belongs to the request: its `id` has to contain the request id that the
 * engine was given. Events without an `id` are accepted.
 */
export function belongsToRequest(payload: Buffer, requestId: Buffer): boolean {
  let start = 0;
  while (start < payload.length) {
    const found = payload.indexOf(EVENT_END, start);
    const end = found < 0 ? payload.length : found + EVENT_END.length;
    if (!eventBelongsToRequest(payload.subarray(start, end), requestId)) return false;
    start = end;
  }
  return true;
}
