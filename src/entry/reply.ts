import type { ServerResponse } from 'node:http';
import { writeWhole } from '../shell/rpc/index.js';
import { Executed, type Frame, type Refusal } from '../wire/index.js';
import { problem } from './problem.js';

/** How one attempt ended for the caller. */
type End =
  | { readonly type: 'whole' }
  | { readonly type: 'gone' }
  | { readonly type: 'refused'; readonly refusal: Refusal };

function broken(detail: string): End {
  const refusal = {
    type: 'upstream-cut',
    detail,
    executed: Executed.EXECUTED_UNKNOWN,
    retryAfterMs: 0,
    candidates: [],
    load: undefined,
  };
  return { type: 'refused', refusal };
}

/** Passes the frames of an answer to the caller, no faster than the caller takes them. */
export async function reply(
  frames: AsyncIterable<Frame>,
  response: ServerResponse,
  requestId: string,
): Promise<End> {
  let dataCount = 0;
  try {
    for await (const { body } of frames) {
      if (response.destroyed) return { type: 'gone' };
      if (body?.$case === 'refusal') return { type: 'refused', refusal: body.value };
      if (body?.$case === 'start') {
        response.statusCode = body.value.status;
        for (const { name, value } of body.value.headers) response.setHeader(name, value);
        response.setHeader('x-request-id', requestId);
      }
      if (body?.$case === 'data') {
        dataCount += 1;
        await writeWhole(response, body.value.payload);
      }
      if (body?.$case === 'end') {
        if (body.value.failure || body.value.dataCount !== dataCount) break;
        response.end();
        return { type: 'whole' };
      }
    }
  } catch (thrown) {
    return broken(thrown instanceof Error ? thrown.message : String(thrown));
  }
  const end = broken('The answer broke off.');
  if (end.type === 'refused' && response.headersSent) {
    response.end(`event: error\ndata: ${problem(end.refusal, requestId).body}\n\n`);
  }
  return end;
}
