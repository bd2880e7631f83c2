/** Headers that are not forwarded to a service: hop-by-hop ones, and those that address the entry. */
export const HOP_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'proxy-connection',
  'tarragonstile-deadline-ms',
  'tarragonstile-kind',
  'tarragonstile-ticket',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-request-id',
]);
