const EVENT_END = '\n\n';

/** The server-sent events of a payload, each without its closing empty line. */
export function eventsOf(payload: Buffer): readonly string[] {
  return payload
    .toString()
    .split(EVENT_END)
    .filter((event) => event.length > 0);
}
