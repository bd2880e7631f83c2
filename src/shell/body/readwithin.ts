import { BodyBuffer } from '../../core/bodybuffer/index.js';

/** Reads a whole body. Returns undefined, without reading on, if it is larger than the limit. */
export async function readWithin(
  body: AsyncIterable<Uint8Array>,
  limitBytes: number,
): Promise<Buffer | undefined> {
  const read = new BodyBuffer(limitBytes, undefined);
  for await (const chunk of body) {
    if (!read.add(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length))) return undefined;
  }
  return read.take();
}
