const EVENT_END = Buffer.from('\n\n');
const ID_KEY = Buffer.from('"id":');
/** The request's id stands within so many bytes after the key; engines may put a prefix before it. */
const ID_WITHIN_BYTES = 128;

function ownEvent(event: Buffer, requestId: Buffer): boolean {
  const at = event.indexOf(ID_KEY);
  return at < 0 || event.subarray(at, at + ID_WITHIN_BYTES).includes(requestId);
}

/**
 * Tells whether each event of an engine's answer belongs to the request: its `id` has to hold the
 * request's id, which the engine was given. Events without an `id` say nothing.
 */
export function ownAnswer(payload: Buffer, requestId: Buffer): boolean {
  let start = 0;
  while (start < payload.length) {
    const found = payload.indexOf(EVENT_END, start);
    const end = found < 0 ? payload.length : found + EVENT_END.length;
    if (!ownEvent(payload.subarray(start, end), requestId)) return false;
    start = end;
  }
  return true;
}
