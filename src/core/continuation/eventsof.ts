const EVENT_END = '\n\n';

/** Splits a payload into server-sent events, each without its closing empty line. */
export function eventsOf(payload: Buffer): readonly string[] {
  return payload
    .toString()
    .split(EVENT_END)
    .filter((event) => event.length > 0);
}
