import type { Readable } from 'node:stream';

/** The whole of a body, or undefined if it is larger than the limit: the rest is then not read. */
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
