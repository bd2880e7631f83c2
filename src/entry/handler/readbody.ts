import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal } from '../../wire/index.js';

function tooLarge(limitBytes: number): Result<Buffer, Refusal> {
  return result.Err(refuse('body-too-large', `The body is larger than ${limitBytes} bytes.`));
}

/** Reads a request body; refuses it if it is larger than the limit. */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, Refusal>> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
    return Promise.resolve(tooLarge(limitBytes));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= limitBytes) chunks.push(chunk);
      else resolve(tooLarge(limitBytes));
    });
    request.on('end', () => resolve(result.Ok(Buffer.concat(chunks))));
    request.on('error', () => resolve(result.Err(refuse('cancelled', 'The caller has gone.'))));
  });
}
