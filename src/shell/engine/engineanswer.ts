import type { Dispatcher } from 'undici';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { AnswerStream, EngineFailure, Generation } from '../../port/index.js';
import { discard } from './discard.js';
import { httpAnswer } from './httpanswer.js';
import { belongsToRequest } from './belongstorequest.js';
import { splitEvents } from './splitevents.js';

const DONE = Buffer.from('data: [DONE]');
const DETAIL_LENGTH = 200;
const FIRST_ERROR_STATUS = 400;

const wrongAnswer: EngineFailure = {
  type: 'upstream-wrong-answer',
  detail: 'The engine sent the answer to another request.',
  executed: 'unknown',
};

const cutAnswer: EngineFailure = {
  type: 'upstream-cut',
  detail: 'The stream ended before its [DONE] event.',
  executed: 'unknown',
};

/** Statuses that concern the engine rather than the request, and whether the request may have run. */
const ENGINE_STATUS: Readonly<Record<number, EngineFailure['executed']>> = {
  404: 'no',
  429: 'unknown',
  500: 'unknown',
  502: 'unknown',
  503: 'unknown',
  504: 'unknown',
};

async function refused(
  response: Dispatcher.ResponseData,
  executed: EngineFailure['executed'],
): Promise<Result<AnswerStream, EngineFailure>> {
  const detail = (await response.body.text()).slice(0, DETAIL_LENGTH);
  const description = `The engine answered ${response.statusCode}: ${detail}`;
  return result.Err({ type: 'upstream-refused', detail: description, executed });
}

function asOnePiece(chunk: Buffer): { payload: Buffer; tokenCount: number }[] {
  return [{ payload: chunk, tokenCount: 0 }];
}

/** Reads an engine's answer and checks that it belongs to this request and is complete. */
export async function engineAnswer(
  response: Dispatcher.ResponseData,
  { requestId }: Generation,
): Promise<Result<AnswerStream, EngineFailure>> {
  const echoed = response.headers['x-request-id'];
  if (echoed !== undefined && echoed !== requestId) {
    discard(response);
    return result.Err(wrongAnswer);
  }
  const executed = ENGINE_STATUS[response.statusCode];
  if (executed) return refused(response, executed);
  if (response.statusCode >= FIRST_ERROR_STATUS) {
    return result.Ok(httpAnswer(response, { split: asOnePiece }));
  }
  const id = Buffer.from(requestId);
  if (String(response.headers['content-type']).startsWith('text/event-stream')) {
    return result.Ok(
      httpAnswer(response, {
        split: splitEvents(),
        check: ({ payload }) => (belongsToRequest(payload, id) ? undefined : wrongAnswer),
        missing: (last) => (last?.payload.includes(DONE) ? undefined : cutAnswer),
      }),
    );
  }
  let isFirst = true;
  const check = ({ payload }: { payload: Buffer }) => {
    const isOwn = !isFirst || belongsToRequest(payload, id);
    isFirst = false;
    return isOwn ? undefined : wrongAnswer;
  };
  return result.Ok(httpAnswer(response, { split: asOnePiece, check }));
}
