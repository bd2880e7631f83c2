import type { Readable } from 'node:stream';

/** Reads a whole body. Returns undefined, without reading on, if it is larger than the limit. */
export async function readWithin(body: Readable, limitBytes: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of body) {
    const bytes = chunk as Buffer;
    sizeBytes += bytes.length;
    if (sizeBytes > limitBytes) return undefined;
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}
