import { sendRaw } from './sendraw.js';

interface EntryCall {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Loopback address that the call comes from. */
  readonly from?: string;
}

let count = 0;

/** Sends a request to an entry as a caller of the platform does, on a new connection. */
export function callEntry(port: number, call: EntryCall): ReturnType<typeof sendRaw> {
  count += 1;
  const { method = 'GET', path, headers = {}, body = '', from } = call;
  const allHeaders: Record<string, string> = {
    Host: 'caller.example',
    Connection: 'close',
    'Tarragonstile-Request-Id': `request-${count}`,
    'Tarragonstile-Deadline-Ms': '4000',
    ...headers,
  };
  if (body !== '') allHeaders['Content-Length'] = String(body.length);
  const head = Object.entries(allHeaders).map(([name, value]) => `${name}: ${value}\r\n`);
  return sendRaw(port, `${method} ${path} HTTP/1.1\r\n${head.join('')}\r\n${body}`, from);
}
