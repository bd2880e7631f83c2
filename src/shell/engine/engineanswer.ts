import type { Dispatcher } from 'undici';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { EventSplitter } from '../../core/eventstream/index.js';
import type { AnswerStream, EngineFailure, Generation } from '../../port/index.js';
import { readWithin } from '../body/index.js';
import { discard } from './discard.js';
import { httpAnswer } from './httpanswer.js';
import { belongsToRequest } from './belongstorequest.js';
import { eventsBelongToRequest } from './eventsbelongtorequest.js';

const DETAIL_LENGTH = 200;
const MAX_DETAIL_BYTES = 65_536;
const FIRST_ERROR_STATUS = 400;

const wrongAnswer: EngineFailure = {
  type: 'upstream-wrong-answer',
  detail: 'The engine sent the answer to another request.',
  executed: 'unknown',
};

const endlessEvent: EngineFailure = {
  type: 'upstream-cut',
  detail: 'An event of the stream is too large.',
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
  const body = await readWithin(response.body, MAX_DETAIL_BYTES);
  const detail = body?.toString().slice(0, DETAIL_LENGTH) ?? 'a body that is too large';
  const description = `The engine answered ${response.statusCode}: ${detail}`;
  return result.Err({ type: 'upstream-refused', detail: description, executed });
}

function asOnePiece(chunk: Buffer): { payload: Buffer; tokenCount: number } {
  return { payload: chunk, tokenCount: 0 };
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
  if (String(response.headers['content-type']).startsWith('text/event-stream')) {
    const splitter = new EventSplitter();
    return result.Ok(
      httpAnswer(response, {
        split: (chunk) => splitter.split(chunk),
        overflow: () => (splitter.isEventTooLarge ? endlessEvent : undefined),
        check: ({ payload }) =>
          eventsBelongToRequest(payload, requestId) ? undefined : wrongAnswer,
        missing: () => (splitter.isDone ? undefined : cutAnswer),
      }),
    );
  }
  let isFirst = true;
  const check = ({ payload }: { payload: Buffer }) => {
    const isOwn = !isFirst || belongsToRequest(payload.toString(), requestId);
    isFirst = false;
    return isOwn ? undefined : wrongAnswer;
  };
  return result.Ok(httpAnswer(response, { split: asOnePiece, check }));
}
