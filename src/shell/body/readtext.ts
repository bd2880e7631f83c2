import { maxAnswerBytes } from './maxanswerbytes.js';
import { readWithin } from './readwithin.js';

/** Reads a whole body as text. Rejects, without reading on, if it is larger than `maxAnswerBytes`. */
export async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const bytes = await readWithin(body, maxAnswerBytes);
  if (!bytes) throw new RangeError(`The answer is larger than ${maxAnswerBytes} bytes.`);
  return bytes.toString();
}
