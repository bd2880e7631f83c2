import type { Dispatcher } from 'undici';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { AnswerStream, EngineFailure } from '../../port/index.js';

interface Piece {
  readonly payload: Buffer;
  readonly tokenCount: number;
  readonly resumeToken?: string | undefined;
}

/** How the body of an answer is split and checked. */
interface AnswerFormat {
  /** Returns the complete piece that a chunk finishes, if any. */
  readonly split: (chunk: Buffer) => Piece | undefined;
  /** Returns a failure if what is buffered is larger than a piece can be. */
  readonly overflow?: () => EngineFailure | undefined;
  /** Returns a failure if the piece is invalid. */
  readonly check?: (piece: Piece) => EngineFailure | undefined;
  /** Returns a failure if the answer is incomplete when it ends. */
  readonly missing?: () => EngineFailure | undefined;
}

/** Hop-by-hop headers, and headers that are set again for the caller. */
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
  { split, overflow, check, missing }: AnswerFormat,
): AsyncIterable<Result<Piece, EngineFailure>> {
  try {
    for await (const chunk of body) {
      const piece = split(chunk);
      const wrong = piece && check?.(piece);
      if (wrong) {
        yield result.Err(wrong);
        return;
      }
      if (piece) yield result.Ok(piece);
      const tooLarge = overflow?.();
      if (tooLarge) {
        yield result.Err(tooLarge);
        return;
      }
    }
  } catch (thrown) {
    const detail = thrown instanceof Error ? thrown.message : String(thrown);
    yield result.Err({ type: 'upstream-cut', detail, executed: 'unknown' });
    return;
  }
  const lost = missing?.();
  if (lost) yield result.Err(lost);
}

function headersOf(response: Dispatcher.ResponseData): AnswerStream['headers'] {
  return Object.entries(response.headers)
    .filter(([name]) => !HOP_HEADERS.has(name))
    .flatMap(([name, value = '']) => [value].flat().map((item) => ({ name, value: item })));
}

/** Converts an HTTP response to a stream of pieces, which are read as they arrive. */
export function httpAnswer(response: Dispatcher.ResponseData, reading: AnswerFormat): AnswerStream {
  // The iterator of the pieces reports errors. A reader that stops early causes an error event, which would be uncaught
  // without a listener.
  response.body.on('error', () => {});
  const pieces = read(response.body as AsyncIterable<Buffer>, reading);
  return { status: response.statusCode, headers: headersOf(response), pieces };
}
