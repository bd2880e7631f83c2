import type { Dispatcher } from 'undici';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { AnswerStream, EngineFailure } from '../../port/index.js';

interface Piece {
  readonly payload: Buffer;
  readonly tokenCount: number;
  readonly resumeToken?: string;
}

/** How the body of an answer is read. */
interface Reading {
  readonly split: (chunk: Buffer) => Iterable<Piece>;
  /** Tells what is wrong with a piece, if anything. */
  readonly check?: (piece: Piece) => EngineFailure | undefined;
  /** Tells what is missing after the last piece, if anything. */
  readonly missing?: (last: Piece | undefined) => EngineFailure | undefined;
}

/** Headers that speak of one connection only, or that are set anew. */
const HOP_HEADERS = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

async function* read(
  body: AsyncIterable<Buffer>,
  { split, check, missing }: Reading,
): AsyncIterable<Result<Piece, EngineFailure>> {
  let last: Piece | undefined;
  try {
    for await (const chunk of body) {
      for (const piece of split(chunk)) {
        const wrong = check?.(piece);
        if (wrong) {
          yield result.Err(wrong);
          return;
        }
        last = piece;
        yield result.Ok(piece);
      }
    }
  } catch (thrown) {
    const detail = thrown instanceof Error ? thrown.message : String(thrown);
    yield result.Err({ type: 'upstream-cut', detail, executed: 'unknown' });
    return;
  }
  const lost = missing?.(last);
  if (lost) yield result.Err(lost);
}

function headersOf(response: Dispatcher.ResponseData): AnswerStream['headers'] {
  return Object.entries(response.headers)
    .filter(([name]) => !HOP_HEADERS.has(name))
    .flatMap(([name, value = '']) => [value].flat().map((one) => ({ name, value: one })));
}

/** Reads an HTTP answer piece by piece, as it arrives. */
export function httpAnswer(response: Dispatcher.ResponseData, reading: Reading): AnswerStream {
  // Errors reach the reader of the pieces; leaving early raises one that nobody reads.
  response.body.on('error', () => {});
  const pieces = read(response.body as AsyncIterable<Buffer>, reading);
  return { status: response.statusCode, headers: headersOf(response), pieces };
}
