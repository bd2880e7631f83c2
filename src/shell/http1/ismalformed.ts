import { errors } from 'undici';
import { FailureError } from '../../base/index.js';

/** The client's message for an interim response (100) that no request has asked for. */
const UNASKED = 'bad response';

/** Returns true for errors of connections on which the peer has sent something else than an answer, or part of one. */
export function isMalformed(error: Error): boolean {
  if (error instanceof FailureError) return error.failure.type === 'answer-malformed';
  if (error instanceof errors.HeadersOverflowError) return true;
  if (error instanceof errors.SocketError) return error.message === UNASKED;
  return error instanceof errors.HTTPParserError;
}
