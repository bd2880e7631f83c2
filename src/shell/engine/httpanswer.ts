import type { Dispatcher } from 'undici';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { AnswerStream, EngineFailure } from '../../port/index.js';

interface Piece {
  readonly payload: Buffer;
  readonly tokenCount: number;
  readonly resumeToken?: string;
}

const SKIPPED_HEADERS = new Set([
  'connection',
  'transfer-encoding',
  'keep-alive',
  'content-length',
]);

async function* read(
  response: Dispatcher.ResponseData,
  split: (chunk: Buffer) => Iterable<Piece>,
): AsyncIterable<Result<Piece, EngineFailure>> {
  try {
    for await (const chunk of response.body) {
      for (const piece of split(chunk as Buffer)) yield result.Ok(piece);
    }
  } catch (thrown) {
    const detail = thrown instanceof Error ? thrown.message : String(thrown);
    yield result.Err({ type: 'upstream-cut', detail, executed: 'unknown' });
  }
}

/** Reads an HTTP answer piece by piece, as it arrives. */
export function httpAnswer(
  response: Dispatcher.ResponseData,
  split: (chunk: Buffer) => Iterable<Piece>,
): AnswerStream {
  const headers = Object.entries(response.headers)
    .filter(([name]) => !SKIPPED_HEADERS.has(name))
    .map(([name, value]) => ({ name, value: String(value) }));
  return { status: response.statusCode, headers, pieces: read(response, split) };
}
