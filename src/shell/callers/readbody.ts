import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from '../body/index.js';
import type { CallerHold } from './callerhold.js';

/** What becomes of a request's body; one of them is called, once. */
interface BodyReader {
  read(body: Buffer): void;
  /** The body is larger than the limit; the rest is discarded. */
  tooLarge(): void;
  /** The listener is short of memory, or nothing of the body has arrived for too long; the rest is discarded. */
  dropped(reason: 'memory' | 'idle-body'): void;
  /** The caller has gone. */
  failed(): void;
}

/** Reads the body of a request whole. */
export function readBody(
  request: IncomingMessage,
  hold: CallerHold,
  limitBytes: number,
  { read, tooLarge, dropped, failed }: BodyReader,
): void {
  const length = request.headers['content-length'];
  const declaredBytes = length === undefined ? undefined : Number(length);
  if (declaredBytes !== undefined && declaredBytes > limitBytes) {
    tooLarge();
    return;
  }
  const body = new BodyBuffer(limitBytes, declaredBytes, (bytes) => hold.charge(bytes));
  let isOver = false;
  const finish = (act: () => void) => {
    if (isOver) return;
    isOver = true;
    Object.assign(hold, { onDrop: undefined, onClear: undefined });
    act();
  };
  const discard = (act: () => void) => {
    body.clear();
    finish(act);
  };
  Object.assign(hold, {
    onClear: () => body.clear(),
    onDrop: (reason: 'memory' | 'idle-body') => discard(() => dropped(reason)),
  });
  request.on('data', (chunk: Buffer) => {
    hold.countChunk(chunk.length);
    if (!isOver && !body.add(chunk)) discard(tooLarge);
  });
  request.on('end', () => finish(() => read(body.take())));
  request.on('error', () => discard(failed));
}
