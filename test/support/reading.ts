import type { Dispatcher } from 'undici';

/** An answer whose first chunk has been read. */
interface Reading {
  /** Reads to the end and returns the whole body, including the first chunk. */
  readAll(): Promise<string>;
  /** Closes the connection, as a caller that leaves. */
  disconnect(): void;
}

/** Waits for the first chunk of an answer. */
export async function readFirstChunk({ body }: Dispatcher.ResponseData): Promise<Reading> {
  const chunks = (body as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
  const first = await chunks.next();
  return {
    async readAll() {
      let text = String(first.value);
      for (let next = await chunks.next(); !next.done; next = await chunks.next()) {
        text += next.value.toString();
      }
      return text;
    },
    disconnect() {
      body.on('error', () => {}).destroy();
    },
  };
}
