import type { Socket } from 'node:net';

/** What a parser's `onIncoming` returns if neither a body nor another message follows. */
const NOTHING_FOLLOWS = 2;

/** A socket of Node's HTTP server. */
interface ParsedSocket extends Socket {
  readonly parser?: { onIncoming: () => number } | null;
}

/**
 * Discards the requests that follow on a connection. One read can hold thousands of them, which the parser reports before
 * the socket can be paused; Node keeps objects for each until the connection closes.
 */
export function stopParsing(socket: ParsedSocket): void {
  const { parser } = socket;
  if (parser) parser.onIncoming = () => NOTHING_FOLLOWS;
}
