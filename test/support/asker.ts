import { connect } from 'node:net';

/** One request that is sent again and again. */
interface Asked {
  readonly port: number;
  /** The request without its id: `@id` stands for it. */
  readonly text: string;
  /** The caller leaves once it has got more of the answer than this. */
  readonly maxBytes?: number;
}

/** How a request ended, without its body. */
interface AskedEnd {
  readonly status: number;
  readonly bodyBytes: number;
}

/** Bytes in which a status line fits. */
const STATUS_BYTES = 32;

/** Sends one request on a connection of its own; resolves when that has closed. */
function ask({ port, text, maxBytes = Infinity }: Asked, id: string): Promise<AskedEnd> {
  return new Promise((resolve) => {
    let first = '';
    let bodyBytes = 0;
    const socket = connect(port, '127.0.0.1', () => socket.write(text.replace('@id', id)));
    socket.on('data', (bytes) => {
      if (first.length < STATUS_BYTES) first += bytes.toString('latin1', 0, STATUS_BYTES);
      bodyBytes += bytes.length;
      if (bodyBytes > maxBytes) socket.destroy();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      const status = Number(/^HTTP\/1\.1 (\d+)/.exec(first)?.[1] ?? 0);
      resolve({ status, bodyBytes });
    });
  });
}

/** Has `callers` send a request `times` times each, one after the other, and returns how the requests ended. */
export async function askAll(
  asked: Asked,
  callers: number,
  times: number,
): Promise<readonly AskedEnd[]> {
  const ends: AskedEnd[] = [];
  const askInTurn = async (caller: number) => {
    for (let time = 0; time < times; time += 1) {
      ends.push(await ask(asked, `c${caller}-${time}`));
    }
  };
  await Promise.all(Array.from({ length: callers }, (_, caller) => askInTurn(caller)));
  return ends;
}
