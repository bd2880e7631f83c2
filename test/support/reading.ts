import type { Dispatcher } from 'undici';

/** An answer of which the first piece has been read. */
interface Reading {
  /** Reads to the end; the whole body, with the first piece. */
  whole(): Promise<string>;
  /** Leaves, as a caller that closes its connection. */
  leave(): void;
}

/** Waits for the first piece of an answer. */
export async function startReading({ body }: Dispatcher.ResponseData): Promise<Reading> {
  const pieces = (body as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
  const first = await pieces.next();
  return {
    async whole() {
      let text = String(first.value);
      for (let next = await pieces.next(); !next.done; next = await pieces.next()) {
        text += next.value.toString();
      }
      return text;
    },
    leave() {
      body.on('error', () => {}).destroy();
    },
  };
}
