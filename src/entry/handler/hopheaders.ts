/** Headers of one connection only, and those that are meant for the entry and not for a service. */
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
