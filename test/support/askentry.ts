import { askRaw } from './askraw.js';

interface Asked {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Address that it comes from. */
  readonly from?: string;
}

let count = 0;

/** Asks an entry as a caller of the prepared platform does, on a connection of its own. */
export function askEntry(port: number, asked: Asked): ReturnType<typeof askRaw> {
  count += 1;
  const { method = 'GET', path, headers = {}, body = '', from } = asked;
  const all: Record<string, string> = {
    Host: 'caller.example',
    Connection: 'close',
    'Tarragonstile-Request-Id': `request-${count}`,
    'Tarragonstile-Deadline-Ms': '4000',
    ...headers,
  };
  if (body !== '') all['Content-Length'] = String(body.length);
  const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return askRaw(port, `${method} ${path} HTTP/1.1\r\n${head.join('')}\r\n${body}`, from);
}
